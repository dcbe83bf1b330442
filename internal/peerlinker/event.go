package peerlinker

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is what a Linker reports: PeerUp, PeerDown or Received.
type Event interface{ isEvent() }

// PeerUp reports that messages to a peer can be sent.
type PeerUp struct{ Peer Peer }

// PeerDown reports that the link to a peer is gone. Messages handed over since
// PeerUp may be lost.
type PeerDown struct{ Peer Peer }

// Received reports a message from a peer.
type Received struct {
	From    Peer
	Message peermessenger.Message
}

func (PeerUp) isEvent()   {}
func (PeerDown) isEvent() {}
func (Received) isEvent() {}

// Peer is one process of the system as a link sees it.
type Peer struct {
	Member  identifier.Member
	Domain  identifier.FailureDomain
	Address string // where it listens for peers
}
