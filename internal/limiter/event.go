package limiter

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is something that affects the limits.
type Event interface{ isEvent() }

// MembersSet replaces the list of the entry VMs of all failure domains. It holds
// all VMs that the rosters name, whether they can be reached or not.
type MembersSet struct{ Members []identifier.Member }

// PeerReceived is a message from another entry VM.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeerLost reports that another entry VM can't be reached.
type PeerLost struct{ Member identifier.Member }

// Tick is sent at regular intervals, for changes of shares, requests and retries.
type Tick struct{}

func (MembersSet) isEvent()   {}
func (PeerReceived) isEvent() {}
func (PeerLost) isEvent()     {}
func (Tick) isEvent()         {}
