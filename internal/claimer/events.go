package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is what a Claimer reacts to.
type Event interface{ isEvent() }

// RosterAdopted says that a roster is in force on this VM.
type RosterAdopted struct{ Roster *enroller.Roster }

// ClaimAsked asks for the right to run a submission. It is answered by one of
// ClaimGranted, ClaimJoined, ClaimDenied and ClaimForward, at once or in a
// later step. Asks of the same submission and digest may share one answer: an
// answer holds for all that were asked before it.
type ClaimAsked struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest // of the body and the team
	Team       identifier.Team
	CreatedAt  time.Time // for ids that are not UUIDv7
}

// JobEnded gives the ending of a job that was granted here. Complete and Failed
// are kept; after Refused, which says that no task was started, the submission
// may be claimed again.
type JobEnded struct {
	Submission identifier.SubmissionID
	Ending     declarer.Ending
}

// PeerReceived hands over a claim message of a member.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeerLost says that a member can't be reached now. It is a hint.
type PeerLost struct{ Member identifier.Member }

// GoneProved says that a member's process is proved to have ended.
type GoneProved struct{ Member identifier.Member }

// DrainAsked asks for the records to be handed over; Drained follows when no
// job runs here and all records have been received.
type DrainAsked struct{}

// Tick says that time has passed.
type Tick struct{}

func (RosterAdopted) isEvent() {}
func (ClaimAsked) isEvent()    {}
func (JobEnded) isEvent()      {}
func (PeerReceived) isEvent()  {}
func (PeerLost) isEvent()      {}
func (GoneProved) isEvent()    {}
func (DrainAsked) isEvent()    {}
func (Tick) isEvent()          {}
