package placer

// RefusalReason says why a backend server did not start a task.
type RefusalReason string

// The reasons for a refused start.
const (
	Full        RefusalReason = "full"
	Leaving     RefusalReason = "leaving"
	Unreachable RefusalReason = "unreachable" // no connection was made
	TooLarge    RefusalReason = "tooLarge"
)
