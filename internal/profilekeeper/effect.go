package profilekeeper

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is what a Keeper wants done: Send, WatchBook, StopWatch or Adopted.
type Effect interface{ isEffect() }

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// WatchBook makes one call of the store that answers once the key's revision is
// above After, or when the store's bound on waiting passes. Its outcome is
// reported as BookRead or StoreFailed. There is at most one such call.
type WatchBook struct{ After Revision }

// StopWatch ends the call of WatchBook. Its outcome isn't reported.
type StopWatch struct{}

// Adopted reports that a newer book is in force from now on.
type Adopted struct{ Book Book }

func (Send) isEffect()      {}
func (WatchBook) isEffect() {}
func (StopWatch) isEffect() {}
func (Adopted) isEffect()   {}
