package quarantiner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event reports something that concerns the health of backend servers.
type Event interface{ isEvent() }

// RacksSet replaces the list of backend servers and their racks.
type RacksSet struct {
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

// BackendLost reports that connecting to a backend server failed, or that the
// answer of a task was lost.
type BackendLost struct{ Backend identifier.BackendID }

// PeerReceived reports a message from another entry VM.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// Tick lets the Quarantiner act on the time that has passed.
type Tick struct{}

func (RacksSet) isEvent()      {}
func (TaskSucceeded) isEvent() {}
func (TaskFailed) isEvent()    {}
func (BackendLost) isEvent()   {}
func (PeerReceived) isEvent()  {}
func (Tick) isEvent()          {}
