package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/placer"
)

// StartOutcome is the outcome of a StartTask.
type StartOutcome interface{ isStartOutcome() }

// TaskSucceeded reports a task's output.
type TaskSucceeded struct {
	Output  []byte
	RunTime time.Duration
}

// TaskFailed reports that a task ran and failed.
type TaskFailed struct {
	Detail  string
	RunTime time.Duration
}

// StartRefused reports that a task provably never started.
type StartRefused struct{ Reason placer.RefusalReason }

// OutcomeUnknown reports that a task may have started and that it is unknown
// whether and how it ended.
type OutcomeUnknown struct{ Detail string }

func (TaskSucceeded) isStartOutcome()  {}
func (TaskFailed) isStartOutcome()     {}
func (StartRefused) isStartOutcome()   {}
func (OutcomeUnknown) isStartOutcome() {}
