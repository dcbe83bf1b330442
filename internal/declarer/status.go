package declarer

// Status is what is known of a submission. A nil Ending of a known submission
// means that it is running.
type Status struct {
	Known  bool
	Ended  int // tasks that ended so far
	Tasks  int
	Ending Ending
}
