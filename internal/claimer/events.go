package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is an input of Step.
type Event interface{ isEvent() }

// RosterAdopted makes a roster the current one of this VM.
type RosterAdopted struct{ Roster *enroller.Roster }

// ClaimRequested requests the right to start the job of a submission. It is
// answered by one of ClaimGranted, ClaimAlreadyRunning, ClaimAnswered and
// ClaimForwarded, at once or in a later step. Requests for the same submission
// and digest may share one answer: an answer holds for all requests made before
// it.
type ClaimRequested struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest // of the body and the team
	Team       identifier.Team
	CreatedAt  time.Time // required unless the id is a UUIDv7
}

// JobEnded reports the ending of a job that was granted here. Complete and
// Failed are kept; after Refused, which says that no task was started, the
// submission may be claimed again.
type JobEnded struct {
	Submission identifier.SubmissionID
	Ending     declarer.Ending
}

// PeerMessage delivers a claim message from a member.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeerUnreachable says that a member is unreachable now. It proves nothing about
// the member's process.
type PeerUnreachable struct{ Member identifier.Member }

// MemberTerminated says that a member's process is proved to have ended.
type MemberTerminated struct{ Member identifier.Member }

// DrainRequested requests that all records be handed over. Drained follows when
// no job runs here and all records have been received.
type DrainRequested struct{}

// Tick says that time has passed.
type Tick struct{}

func (RosterAdopted) isEvent()    {}
func (ClaimRequested) isEvent()   {}
func (JobEnded) isEvent()         {}
func (PeerMessage) isEvent()      {}
func (PeerUnreachable) isEvent()  {}
func (MemberTerminated) isEvent() {}
func (DrainRequested) isEvent()   {}
func (Tick) isEvent()             {}
