package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Effect is an output of a Machine.
type Effect interface{ isEffect() }

// Reply answers a caller's request.
type Reply struct {
	Request RequestID
	Status  declarer.Status
}

// Send sends a message to a peer.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// StartTask starts a task on a backend server.
type StartTask struct {
	Ref          identifier.TaskRef
	Backend      identifier.BackendID
	Address      string
	Task         declarer.Task
	Lease        time.Duration // after which the backend server stops the task
	Unrepeatable bool
}

// StopTasks stops tasks on a backend server.
type StopTasks struct {
	Backend identifier.BackendID
	Address string
	Refs    []identifier.TaskRef
}

// JobEnded reports an ended job for the service-level reports.
type JobEnded struct {
	Team           identifier.Team
	Profile        identifier.ProfileName
	Objective      profileparser.Objective
	Ending         declarer.Ending
	Response       time.Duration // from arrival to ending
	LongestRunTime time.Duration // of a task of the job; 0 when none ran
}

// ReadProfiles asks for a read of the profiles in the store that begins now. It is
// answered by ProfilesAdopted, if they are later ones, and ProfilesConfirmed.
type ReadProfiles struct{}

// RecordsCaughtUp reports that this entry VM holds all claim records of its shards
// in an epoch.
type RecordsCaughtUp struct{ Epoch identifier.Epoch }

// LaterEpochSeen reports that a member knows the roster of a later epoch than this
// entry VM does.
type LaterEpochSeen struct {
	From  identifier.Member
	Epoch identifier.Epoch
}

// Drained reports that the process may end: no job runs here, and its records
// have been handed over to peers.
type Drained struct{}

func (Reply) isEffect()           {}
func (Send) isEffect()            {}
func (StartTask) isEffect()       {}
func (StopTasks) isEffect()       {}
func (JobEnded) isEffect()        {}
func (ReadProfiles) isEffect()    {}
func (RecordsCaughtUp) isEffect() {}
func (LaterEpochSeen) isEffect()  {}
func (Drained) isEffect()         {}
