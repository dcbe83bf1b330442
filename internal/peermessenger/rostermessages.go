package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// Heartbeat tells a peer in the same failure domain that the sender is alive
// and which roster it has.
type Heartbeat struct {
	Member        identifier.Member `cbor:"1,keyasint"`
	Epoch         identifier.Epoch  `cbor:"2,keyasint"` // of the sender's roster; 0 without one
	CaughtUpEpoch identifier.Epoch  `cbor:"3,keyasint"` // latest epoch for which the sender holds all records of its shards
}

// RosterRequest asks a peer for its roster.
type RosterRequest struct{}

// RosterReply answers RosterRequest.
type RosterReply struct {
	Value []byte `cbor:"1,keyasint"` // the roster in the format that the store holds
}

func (Heartbeat) isPeerMessage()     {}
func (RosterRequest) isPeerMessage() {}
func (RosterReply) isPeerMessage()   {}
