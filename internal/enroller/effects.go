package enroller

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is an action for the caller of Step.
type Effect interface{ isEffect() }

// Send sends a message to a peer.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// ReadRoster reads the roster from the store. It is answered by RosterRead or
// StoreFailed.
type ReadRoster struct{}

// SwapRoster writes the roster to the store if the store still holds the
// expected revision; 0 means that it holds none. It is answered by
// SwapSucceeded, SwapConflict, SwapUnknown or StoreFailed.
type SwapRoster struct {
	Expected Revision
	Roster   *Roster
}

// RosterAdopted says that the roster of a later epoch is now the current one of
// this VM.
type RosterAdopted struct{ Roster *Roster }

// MemberTerminated says that a member's process is proved to have ended.
type MemberTerminated struct{ Member identifier.Member }

func (Send) isEffect()             {}
func (ReadRoster) isEffect()       {}
func (SwapRoster) isEffect()       {}
func (RosterAdopted) isEffect()    {}
func (MemberTerminated) isEffect() {}
