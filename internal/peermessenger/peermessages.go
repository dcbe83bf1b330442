package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// PeerTable tells a peer which entry VMs the sender is linked to, so that a
// new VM finds all others from a single address.
type PeerTable struct {
	Peers []PeerAddress `cbor:"1,keyasint"`
}

// PeerAddress is where an entry VM listens for its peers.
type PeerAddress struct {
	VM      identifier.VMID          `cbor:"1,keyasint"`
	Domain  identifier.FailureDomain `cbor:"2,keyasint"`
	Address string                   `cbor:"3,keyasint"`
}

// LinkNeed tells a peer whether the sender needs the link that the peer keeps to it.
// Until then the peer takes it that the sender does.
type LinkNeed struct {
	Needed bool `cbor:"1,keyasint"`
}

func (PeerTable) isPeerMessage() {}
func (LinkNeed) isPeerMessage()  {}
