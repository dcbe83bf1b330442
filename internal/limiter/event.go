package limiter

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is something that happened and that bears on the limits.
type Event interface{ isEvent() }

// MembersSet replaces the list of the entry VMs of all failure domains, as the
// rosters name them, whether they can be reached or not.
type MembersSet struct{ Members []identifier.Member }

// PeerReceived is a message from another entry VM.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeerLost tells that another entry VM can't be reached.
type PeerLost struct{ Member identifier.Member }

// Tick tells that time has passed.
type Tick struct{}

func (MembersSet) isEvent()   {}
func (PeerReceived) isEvent() {}
func (PeerLost) isEvent()     {}
func (Tick) isEvent()         {}
