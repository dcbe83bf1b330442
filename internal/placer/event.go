package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is something that affects placement.
type Event interface{ isEvent() }

// StartRefused reports that a placed task was never started.
type StartRefused struct {
	Backend identifier.BackendID
	Ref     identifier.TaskRef
	Reason  RefusalReason
}

// TaskEnded reports that a placed task ended, with or without success.
type TaskEnded struct {
	Backend   identifier.BackendID
	Ref       identifier.TaskRef
	Succeeded bool
	RunTime   time.Duration
}

// TaskOutcomeUnknown reports that a placed task's answer was lost; the task may
// still run.
type TaskOutcomeUnknown struct {
	Backend identifier.BackendID
	Ref     identifier.TaskRef
}

// UsageReported is a backend server's report of its slots in use, which may be
// out of date.
type UsageReported struct {
	Backend identifier.BackendID
	Used    identifier.Slots // by all entry VMs
	Leaving bool
}

// AllowanceChanged bounds the tasks that this entry VM runs at once on a backend
// server that is in quarantine or on probation.
type AllowanceChanged struct {
	Backend identifier.BackendID
	Tasks   identifier.Slots // Unlimited lifts the bound
}

// Unlimited is the allowance of a backend server that is not in quarantine.
const Unlimited identifier.Slots = -1

// PeerMessage is a message from another entry VM.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeerUnreachable reports that another entry VM can't be reached.
type PeerUnreachable struct{ Member identifier.Member }

// RequestSlots follows a call of Place. It sends the requests for slots that
// should not wait for the next Tick.
type RequestSlots struct {
	Waiting identifier.Slots // all tasks that wait, passed to Place or not
}

// Tick is sent at regular intervals, for timeouts, backoffs and repeated messages.
type Tick struct{}

func (StartRefused) isEvent()       {}
func (TaskEnded) isEvent()          {}
func (TaskOutcomeUnknown) isEvent() {}
func (UsageReported) isEvent()      {}
func (AllowanceChanged) isEvent()   {}
func (PeerMessage) isEvent()        {}
func (PeerUnreachable) isEvent()    {}
func (RequestSlots) isEvent()       {}
func (Tick) isEvent()               {}
