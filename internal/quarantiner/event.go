package quarantiner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event reports something that concerns the health of backend servers.
type Event interface{ isEvent() }

// RacksChanged replaces the list of backend servers and their racks.
type RacksChanged struct {
	Racks map[identifier.BackendID]identifier.RackID
}

// TaskSucceeded reports that a task ended successfully.
type TaskSucceeded struct {
	Backend identifier.BackendID
	RunTime time.Duration
}

// TaskFailed reports that a started task failed.
type TaskFailed struct {
	Backend    identifier.BackendID
	Submission identifier.SubmissionID
	RunTime    time.Duration
}

// BackendUnreachable reports that connecting to a backend server failed, or that the
// answer of a task was lost.
type BackendUnreachable struct {
	Backend    identifier.BackendID
	Submission identifier.SubmissionID // whose task's answer was lost; empty: connecting failed
}

// PeerMessage reports a message from another entry VM.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// Tick lets the Quarantiner act on the time that has passed.
type Tick struct{}

func (RacksChanged) isEvent()       {}
func (TaskSucceeded) isEvent()      {}
func (TaskFailed) isEvent()         {}
func (BackendUnreachable) isEvent() {}
func (PeerMessage) isEvent()        {}
func (Tick) isEvent()               {}
