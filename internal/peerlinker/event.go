package peerlinker

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is an event that a Linker reports: PeerUp, PeerDown or Received.
type Event interface{ isEvent() }

// PeerUp reports that a session with a peer has begun: messages can be sent to it.
// It says nothing about the incoming connection.
type PeerUp struct{ Peer Peer }

// PeerDown reports that the session with a peer has ended. Messages accepted by
// Send since PeerUp may be lost.
type PeerDown struct {
	Peer     Peer
	Unneeded bool // the Linker has ended it, since neither of the two needs the link
}

// Received reports a message that arrived on an incoming connection. It may come
// without a PeerUp for the sender.
type Received struct {
	From    Peer
	Message peermessenger.Message
}

func (PeerUp) isEvent()   {}
func (PeerDown) isEvent() {}
func (Received) isEvent() {}

// Peer is one process of an entry VM, with the address for connections to it.
type Peer struct {
	Member  identifier.Member
	Domain  identifier.FailureDomain
	Address string // IP address and port on which it accepts connections
}
