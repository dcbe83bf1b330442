package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// RequestID identifies a request of a caller to this entry VM.
type RequestID uint64

// Event is an input of a Machine.
type Event interface{ isEvent() }

// SubmitRequested is a caller's submission of a job.
type SubmitRequested struct {
	Request RequestID
	Job     declarer.Job
	Wait    bool // false: reply once the job is admitted
}

// FetchRequested is a caller's request for the status of a submission.
type FetchRequested struct {
	Request    RequestID
	Team       identifier.Team
	Submission identifier.SubmissionID
	Wait       time.Duration // how long to wait for the job to end; 0: reply at once
}

// CancelRequested is a caller's request to cancel a job.
type CancelRequested struct {
	Request    RequestID
	Team       identifier.Team
	Submission identifier.SubmissionID
}

// RequestAbandoned reports that a caller no longer waits for a reply.
type RequestAbandoned struct {
	Request    RequestID
	Submission identifier.SubmissionID
}

// PeerUp reports that messages can be sent to a peer.
type PeerUp struct {
	Member identifier.Member
	Domain identifier.FailureDomain
}

// PeerDown reports that the link to a peer is lost.
type PeerDown struct{ Member identifier.Member }

// PeerMessage is a message from a peer.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// BackendsListed replaces the platform's list of backend servers.
type BackendsListed struct{ Backends []placer.Backend }

// BackendUsageReported is a backend server's report of its used slots, which lags
// behind.
type BackendUsageReported struct {
	Backend identifier.BackendID
	Used    identifier.Slots
	Leaving bool
}

// ProfilesAdopted replaces the profiles in force, and the failure domains whose backend
// servers get no new tasks.
type ProfilesAdopted struct {
	Profiles  map[identifier.ProfileName]profileparser.Profile
	Evacuated []identifier.FailureDomain
}

// ProfilesConfirmed reports that the store had no profiles at AsOf that are later than
// those adopted before this event.
type ProfilesConfirmed struct{ AsOf time.Time }

// Resumed reports that this process was paused.
type Resumed struct{ Gap time.Duration }

// RosterAdopted puts a roster of this failure domain in force.
type RosterAdopted struct{ Roster *enroller.Roster }

// MemberTerminated reports proof that a member's process has terminated.
type MemberTerminated struct{ Member identifier.Member }

// PlatformReachable reports whether the latest read of the platform's list of VMs
// succeeded. The profile setting whileStoreDown goes by this read alone.
type PlatformReachable struct{ Reachable bool }

// StartTaskFinished reports the outcome of a StartTask.
type StartTaskFinished struct {
	Ref     identifier.TaskRef
	Backend identifier.BackendID
	Outcome StartOutcome
}

// DrainRequested begins a graceful shutdown.
type DrainRequested struct{}

// Tick reports that time has passed.
type Tick struct{}

func (SubmitRequested) isEvent()      {}
func (FetchRequested) isEvent()       {}
func (CancelRequested) isEvent()      {}
func (RequestAbandoned) isEvent()     {}
func (PeerUp) isEvent()               {}
func (PeerDown) isEvent()             {}
func (PeerMessage) isEvent()          {}
func (BackendsListed) isEvent()       {}
func (BackendUsageReported) isEvent() {}
func (ProfilesAdopted) isEvent()      {}
func (ProfilesConfirmed) isEvent()    {}
func (Resumed) isEvent()              {}
func (RosterAdopted) isEvent()        {}
func (MemberTerminated) isEvent()     {}
func (PlatformReachable) isEvent()    {}
func (StartTaskFinished) isEvent()    {}
func (DrainRequested) isEvent()       {}
func (Tick) isEvent()                 {}
