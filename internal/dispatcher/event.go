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

// SubmitAsked is a caller's submission of a job.
type SubmitAsked struct {
	Request RequestID
	Job     declarer.Job
	Wait    bool // false: reply once the job is admitted
}

// FetchAsked is a caller's request for the status of a submission.
type FetchAsked struct {
	Request    RequestID
	Team       identifier.Team
	Submission identifier.SubmissionID
	Wait       time.Duration // how long to wait for the job to end; 0: reply at once
}

// CancelAsked is a caller's request to cancel a job.
type CancelAsked struct {
	Request    RequestID
	Team       identifier.Team
	Submission identifier.SubmissionID
}

// RequestGone reports that a caller no longer waits for a reply.
type RequestGone struct {
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

// PeerReceived is a message from a peer.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// BackendsListed replaces the platform's list of backend servers.
type BackendsListed struct{ Backends []placer.Backend }

// BackendUsage is a backend server's report of its used slots, which lags behind.
type BackendUsage struct {
	Backend identifier.BackendID
	Used    identifier.Slots
	Leaving bool
}

// ProfilesAdopted replaces the profiles in force.
type ProfilesAdopted struct {
	Profiles map[identifier.ProfileName]profileparser.Profile
}

// RosterAdopted puts a roster of this failure domain in force.
type RosterAdopted struct{ Roster *enroller.Roster }

// MemberGone reports proof that a member's process has ended.
type MemberGone struct{ Member identifier.Member }

// StoreReachable reports whether the platform's key-value service answers.
type StoreReachable struct{ Reachable bool }

// StartEnded reports the outcome of a StartTask.
type StartEnded struct {
	Ref     identifier.TaskRef
	Backend identifier.BackendID
	Outcome StartOutcome
}

// DrainAsked begins a graceful shutdown.
type DrainAsked struct{}

// Tick reports that time has passed.
type Tick struct{}

func (SubmitAsked) isEvent()     {}
func (FetchAsked) isEvent()      {}
func (CancelAsked) isEvent()     {}
func (RequestGone) isEvent()     {}
func (PeerUp) isEvent()          {}
func (PeerDown) isEvent()        {}
func (PeerReceived) isEvent()    {}
func (BackendsListed) isEvent()  {}
func (BackendUsage) isEvent()    {}
func (ProfilesAdopted) isEvent() {}
func (RosterAdopted) isEvent()   {}
func (MemberGone) isEvent()      {}
func (StoreReachable) isEvent()  {}
func (StartEnded) isEvent()      {}
func (DrainAsked) isEvent()      {}
func (Tick) isEvent()            {}
