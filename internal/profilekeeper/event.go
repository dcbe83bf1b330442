package profilekeeper

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Revision is the store's number of a state of the key.
type Revision uint64

// Event is what a Keeper is told: BookRead, BookWritten, StoreFailed,
// PeerReceived, PeersChanged or Tick.
type Event interface{ isEvent() }

// BookRead reports the answer of the store to ReadBook or WatchBook.
type BookRead struct {
	Book     Book
	Revision Revision
}

// BookWritten reports a book that this process wrote to the store, or read there
// while it wrote.
type BookWritten struct{ Book Book }

// StoreFailed reports that ReadBook or WatchBook had no answer, or one that is no book.
type StoreFailed struct{}

// PeerReceived reports a message from a peer.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeersChanged reports the peers to which there are links.
type PeersChanged struct{ Peers []Peer }

// Tick reports that time has passed. It comes every TickInterval.
type Tick struct{}

func (BookRead) isEvent()     {}
func (BookWritten) isEvent()  {}
func (StoreFailed) isEvent()  {}
func (PeerReceived) isEvent() {}
func (PeersChanged) isEvent() {}
func (Tick) isEvent()         {}

// Peer is a process of the system with its failure domain.
type Peer struct {
	Member identifier.Member
	Domain identifier.FailureDomain
}
