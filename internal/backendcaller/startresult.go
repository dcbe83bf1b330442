package backendcaller

import "time"

// StartResult is the result of a start: Succeeded, TaskFailed, NotStarted or
// Lost.
type StartResult interface{ isStartResult() }

// Succeeded is the result of a task that ran and succeeded.
type Succeeded struct {
	Output  []byte // JSON
	RunTime time.Duration
}

// TaskFailed is the result of a task that ran and did not succeed. The task no
// longer runs.
type TaskFailed struct {
	Cause   FailureCause
	Detail  string
	RunTime time.Duration
}

// NotStarted is the result of a start that provably did not happen: the server
// refused it, or the request was never sent.
type NotStarted struct {
	Reason RefusalReason
	Detail string
}

// Lost is the result of a start whose outcome is unknown: the task may never have
// started, may be running or may have ended.
type Lost struct{ Detail string }

func (Succeeded) isStartResult()  {}
func (TaskFailed) isStartResult() {}
func (NotStarted) isStartResult() {}
func (Lost) isStartResult()       {}

// FailureCause says why a task did not succeed.
type FailureCause string

// The failure causes.
const (
	Failed      FailureCause = "failed"
	Stopped     FailureCause = "stopped"     // Stop stopped the task
	LeaseLapsed FailureCause = "leaseLapsed" // the server stopped the task when its lease ended
	Died        FailureCause = "died"        // the server reports that the task ended because the server died
)

// RefusalReason says why a task was not started.
type RefusalReason string

// The refusal reasons.
const (
	Full        RefusalReason = "full"     // no free slot
	Leaving     RefusalReason = "leaving"  // the server takes no new work
	TooLarge    RefusalReason = "tooLarge" // for this server even when it is idle
	Cancelled   RefusalReason = "cancelled"
	BadRequest  RefusalReason = "badRequest"
	Unreachable RefusalReason = "unreachable" // no connection; no request was sent
)
