package peerlinker

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is an event that a Linker reports: PeerUp, PeerDown or Received.
type Event interface{ isEvent() }

// PeerUp reports that a link to a peer is up: messages can be sent to it.
type PeerUp struct{ Peer Peer }

// PeerDown reports that the link to a peer is down. Messages accepted by Send
// since PeerUp may be lost.
type PeerDown struct{ Peer Peer }

// Received reports a message from a peer.
type Received struct {
	From    Peer
	Message peermessenger.Message
}

func (PeerUp) isEvent()   {}
func (PeerDown) isEvent() {}
func (Received) isEvent() {}

// Peer is one process of an entry VM, with the address of its links.
type Peer struct {
	Member  identifier.Member
	Domain  identifier.FailureDomain
	Address string // IP address and port on which it accepts links
}
