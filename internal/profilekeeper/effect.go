package profilekeeper

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is what a Keeper wants done: Send, ReadBook, WatchBook, StopWatch or Adopted.
type Effect interface{ isEffect() }

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// ReadBook makes one call of the store that answers at once. Its outcome is
// reported as BookRead or StoreFailed.
type ReadBook struct{}

// WatchBook makes one call of the store that answers once the key's revision is
// above After, or when the store's bound on waiting passes. Its outcome is
// reported as BookRead or StoreFailed. There is at most one call of ReadBook or WatchBook at a time.
type WatchBook struct{ After Revision }

// StopWatch ends the call of ReadBook or WatchBook. Its outcome isn't reported.
type StopWatch struct{}

// Adopted reports that a newer book is in force from now on.
type Adopted struct{ Book Book }

func (Send) isEffect()      {}
func (ReadBook) isEffect()  {}
func (WatchBook) isEffect() {}
func (StopWatch) isEffect() {}
func (Adopted) isEffect()   {}
