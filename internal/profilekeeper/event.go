package profilekeeper

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Revision is the store's revision number of the key.
type Revision uint64

// Event is an input of a Keeper: BookRead, BookWritten, StoreFailed,
// VerifyRequested, PeerMessage, PeersChanged or Tick.
type Event interface{ isEvent() }

// BookRead reports the store's answer to ReadBook or WatchBook.
type BookRead struct {
	Book     Book
	Revision Revision
}

// BookWritten reports a book that this process wrote to the store, or read from
// it to make a change.
type BookWritten struct{ Book Book }

// StoreFailed reports that ReadBook or WatchBook got no answer or one that is not
// a valid book.
type StoreFailed struct{}

// VerifyRequested asks for a read of the store that begins now, also if another VM
// watches the store.
type VerifyRequested struct{}

// PeerMessage reports a message from a peer.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeersChanged reports the full set of peers to which there are links.
type PeersChanged struct{ Peers []Peer }

// Tick triggers time-based work. It is due every TickInterval.
type Tick struct{}

func (BookRead) isEvent()        {}
func (BookWritten) isEvent()     {}
func (StoreFailed) isEvent()     {}
func (VerifyRequested) isEvent() {}
func (PeerMessage) isEvent()     {}
func (PeersChanged) isEvent()    {}
func (Tick) isEvent()            {}

// Peer is another entry VM process and its failure domain.
type Peer struct {
	Member identifier.Member
	Domain identifier.FailureDomain
}
