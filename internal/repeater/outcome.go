package repeater

import "time"

// Outcome is the final answer to a request.
type Outcome interface{ isOutcome() }

// Completed says that every task has succeeded.
type Completed struct{}

// Failed says that a task has failed as often as its route allows, or that a
// server rejected it.
type Failed struct{ Cause string }

// Refused says that this request has started no task of the job.
type Refused struct {
	Overloaded bool // the cause is load; otherwise this VM was paused, or the job's number of tasks is out of bounds
	RetryAfter time.Duration
	Reason     string
}

// Lost says that runs of the job were lost. None of them continues when the
// caller submits the job again.
type Lost struct{ Cause string }

// TimedOut says that the job didn't end within the caller's budget.
type TimedOut struct{}

func (Completed) isOutcome() {}
func (Failed) isOutcome()    {}
func (Refused) isOutcome()   {}
func (Lost) isOutcome()      {}
func (TimedOut) isOutcome()  {}

// OutcomeName returns the name of an outcome in logs and metrics.
func OutcomeName(o Outcome) string {
	switch o.(type) {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Lost:
		return "lost"
	case TimedOut:
		return "timedOut"
	}
	return "unknown"
}
