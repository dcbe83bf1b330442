package claimer

import (
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is an action for the caller of Step. The effects of one step must be
// carried out in order.
type Effect interface{ isEffect() }

// Send sends a message to a peer. The message may be lost, duplicated or
// reordered.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// ClaimGranted permits the caller to start the job of the submission now. No
// other start of it is permitted.
type ClaimGranted struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
}

// ClaimAlreadyRunning says that the job runs here already: it was granted here
// before and has not ended.
type ClaimAlreadyRunning struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
}

// ClaimAnswered answers a request with an ending. It is returned when the job has
// ended, when its runner has terminated, and when the request is refused or can't
// be verified or decided in time. A RunnerLost ending has no task outcomes; all of
// them are unknown.
type ClaimAnswered struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
	Ending     declarer.Ending
}

// ClaimForwarded tells the caller to forward the request: to the home of the
// submission when that is another member, or, at the home, to the runner that has
// answered that the job still runs there.
type ClaimForwarded struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
	To         identifier.Member
}

// RecordsCaughtUp says that this member has caught up: it has all records of its
// shards in an epoch. The roster notes this, so that it can forget earlier epochs.
type RecordsCaughtUp struct{ Epoch identifier.Epoch }

// LaterEpochSeen says that a member knows of a later epoch than this VM's. The
// caller must ask it for the roster.
type LaterEpochSeen struct {
	From  identifier.Member
	Epoch identifier.Epoch
}

// Drained says that all records were handed over, except those that enqueue
// skipped.
type Drained struct{}

func (Send) isEffect()                {}
func (ClaimGranted) isEffect()        {}
func (ClaimAlreadyRunning) isEffect() {}
func (ClaimAnswered) isEffect()       {}
func (ClaimForwarded) isEffect()      {}
func (RecordsCaughtUp) isEffect()     {}
func (LaterEpochSeen) isEffect()      {}
func (Drained) isEffect()             {}
