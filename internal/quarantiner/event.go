package quarantiner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is something that happened and that bears on the health of backend
// servers.
type Event interface{ isEvent() }

// RacksSet replaces the list of the backend servers and their racks.
type RacksSet struct {
	Racks map[identifier.BackendID]identifier.RackID
}

// TaskSucceeded tells that a task ended with success.
type TaskSucceeded struct {
	Backend identifier.BackendID
	RunTime time.Duration
}

// TaskFailed tells that a started task failed.
type TaskFailed struct {
	Backend    identifier.BackendID
	Submission identifier.SubmissionID
	RunTime    time.Duration
}

// BackendLost tells that a connection to a backend server was not made, or that
// the answer of a task was lost.
type BackendLost struct{ Backend identifier.BackendID }

// PeerReceived is a message from another entry VM.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// Tick tells that time has passed.
type Tick struct{}

func (RacksSet) isEvent()      {}
func (TaskSucceeded) isEvent() {}
func (TaskFailed) isEvent()    {}
func (BackendLost) isEvent()   {}
func (PeerReceived) isEvent()  {}
func (Tick) isEvent()          {}
