package profilekeeper

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is an action that a Keeper requests or reports: Send, ReadBook,
// WatchBook, CancelStoreCall, BookAdopted or BookConfirmed.
type Effect interface{ isEffect() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// ReadBook makes one store call that returns the book without waiting for a change.
// Its outcome is reported as BookRead or StoreFailed.
type ReadBook struct{}

// WatchBook makes one store call that returns when the key's revision is above
// After or when the store's maximum wait has passed. Its outcome is reported as
// BookRead or StoreFailed. At most one ReadBook or WatchBook call is in progress
// at a time.
type WatchBook struct{ After Revision }

// CancelStoreCall cancels the ReadBook or WatchBook call in progress. The outcome of
// that call is not reported.
type CancelStoreCall struct{}

// BookAdopted reports that a newer book is now in force.
type BookAdopted struct{ Book Book }

// BookConfirmed reports that the book in force was the newest in the store at AsOf. It
// answers a VerifyRequested.
type BookConfirmed struct{ AsOf time.Time }

func (BookConfirmed) isEffect()   {}
func (Send) isEffect()            {}
func (ReadBook) isEffect()        {}
func (WatchBook) isEffect()       {}
func (CancelStoreCall) isEffect() {}
func (BookAdopted) isEffect()     {}
