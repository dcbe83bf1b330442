package declarer

// Status is what is known of a submission. A known submission with a nil Ending is
// still running.
type Status struct {
	Known      bool
	EndedTasks int // number of tasks that have ended
	Tasks      int
	Ending     Ending
}
