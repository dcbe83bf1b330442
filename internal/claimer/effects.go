package claimer

import (
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is what a Claimer asks its shell to do. The effects of one step are to
// be carried out in their order.
type Effect interface{ isEffect() }

// Send sends a message to a peer, which may be lost, repeated or overtaken.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// ClaimGranted tells to start the job now: it is the only start.
type ClaimGranted struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
}

// ClaimJoined says that the job is running here already.
type ClaimJoined struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
}

// ClaimDenied answers an ask with an ending: the kept one, or that the claim was
// refused or can't be verified. The RunnerLost ending holds no task outcomes;
// all of them are unknown.
type ClaimDenied struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
	Ending     declarer.Ending
}

// ClaimForward tells to pass the ask on to the member that can answer it.
type ClaimForward struct {
	Submission identifier.SubmissionID
	Digest     identifier.Digest
	To         identifier.Member
}

// RecordsWhole says that this member holds all records of its shards in an
// epoch. The roster is told, so that it can forget earlier epochs.
type RecordsWhole struct{ Epoch identifier.Epoch }

// EpochHeard says that a member knows of a later epoch than this VM. The roster
// has to be asked for.
type EpochHeard struct {
	From  identifier.Member
	Epoch identifier.Epoch
}

// Drained says that all records were handed over.
type Drained struct{}

func (Send) isEffect()         {}
func (ClaimGranted) isEffect() {}
func (ClaimJoined) isEffect()  {}
func (ClaimDenied) isEffect()  {}
func (ClaimForward) isEffect() {}
func (RecordsWhole) isEffect() {}
func (EpochHeard) isEffect()   {}
func (Drained) isEffect()      {}
