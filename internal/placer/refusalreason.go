package placer

// RefusalReason says why a task was never started.
type RefusalReason string

// The reasons of a refused start.
const (
	Full        RefusalReason = "full"
	Leaving     RefusalReason = "leaving"
	Unreachable RefusalReason = "unreachable" // no connection was made
	TooLarge    RefusalReason = "tooLarge"
)
