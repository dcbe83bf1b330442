package declarer

import (
	"time"
)

// Ending is how a request ended: Complete, Failed, Refused or Unverifiable.
type Ending interface{ isEnding() }

// Complete is the ending of a job whose tasks all succeeded.
type Complete struct {
	Outputs [][]byte `cbor:"1,keyasint"` // one per task, in the order of the tasks
}

// Failed is the ending of a claimed job that did not complete. A job that was
// cancelled may end so before any of its tasks started; Outcomes says which ran.
type Failed struct {
	Cause    FailureCause  `cbor:"1,keyasint"`
	Detail   string        `cbor:"2,keyasint"`
	Outcomes []TaskOutcome `cbor:"3,keyasint"` // one per task, in the order of the tasks; none if the cause is RunnerLost
}

// Refused is the ending of a request that started nothing, when no other attempt of
// its submission ever started anything either.
type Refused struct {
	Cause      RefusalCause  `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"` // 0 means that a retry is of no use
}

// Unverifiable is the ending of an attempt when it is not known whether, or how, the
// job ran. This attempt or an earlier one of the same submission may have started it.
type Unverifiable struct {
	Cause      UnverifiableCause `cbor:"1,keyasint"`
	Detail     string            `cbor:"2,keyasint"`
	RetryAfter time.Duration     `cbor:"3,keyasint"` // 0 means that a retry is of no use
}

func (Complete) isEnding()     {}
func (Failed) isEnding()       {}
func (Refused) isEnding()      {}
func (Unverifiable) isEnding() {}

// TaskOutcome is what is known of a task of a failed job.
type TaskOutcome string

// The task outcomes.
const (
	NeverStarted   TaskOutcome = "neverStarted"
	Ran            TaskOutcome = "ran"     // started and ended, successfully or not
	OutcomeUnknown TaskOutcome = "unknown" // may have started; its end was not seen
)

// FailureCause says why a claimed job failed.
type FailureCause string

// The failure causes.
const (
	TaskFailed       FailureCause = "taskFailed"
	DeadlineExceeded FailureCause = "deadlineExceeded"
	Cancelled        FailureCause = "cancelled"
	BackendLost      FailureCause = "backendLost"
	RunnerLost       FailureCause = "runnerLost" // the entry VM that may have run the job is gone; recorded so, but reported as VMLost
)

// RefusalCause says why a request was refused before anything ran.
type RefusalCause string

// The refusal causes.
const (
	BadRequest       RefusalCause = "badRequest"
	UnknownProfile   RefusalCause = "unknownProfile"
	RetiredProfile   RefusalCause = "retiredProfile"
	TooLarge         RefusalCause = "tooLarge" // more tasks than the profile allows
	DoesNotFit       RefusalCause = "doesNotFit"
	QueueFull        RefusalCause = "queueFull"
	OverQuota        RefusalCause = "overQuota"
	DeadlineTooShort RefusalCause = "deadlineTooShort"
	NoCapacity       RefusalCause = "noCapacity"
	ShuttingDown     RefusalCause = "shuttingDown"
)

// UnverifiableCause says why it is not known whether, or how, the job ran.
type UnverifiableCause string

// The causes of an unverifiable ending.
const (
	HomeUnreachable UnverifiableCause = "homeUnreachable" // not decided now, mostly as the VMs that hold the claim can't be reached; Detail says why
	RecordsLost     UnverifiableCause = "recordsLost"     // the VMs that held the claim are gone
	RecordExpired   UnverifiableCause = "recordExpired"   // the id is older than records are kept
	VMLost          UnverifiableCause = "vmLost"          // the entry VM that may have run the job went away before the outcome was known
	AnswerLost      UnverifiableCause = "answerLost"      // the job has ended; its answer was lost with its VM or not kept
	TooManyRequests UnverifiableCause = "notLookedAt"     // not checked, as too many requests are open
	BodyMismatch    UnverifiableCause = "bodyMismatch"    // the id was used with another body
)
