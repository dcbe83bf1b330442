package limiter

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Event is something that affects the limits.
type Event interface{ isEvent() }

// MembersChanged replaces the list of the entry VMs, of all failure domains, that
// may hold a share of a quota: this VM, the linked ones, and those whose link was
// lost less than ten minutes ago, as they may still run.
type MembersChanged struct{ Members []identifier.Member }

// PeerMessage is a message from another entry VM.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// PeerUnreachable reports that another entry VM can't be reached.
type PeerUnreachable struct{ Member identifier.Member }

// Tick is sent at regular intervals, for changes of shares, requests and retries.
type Tick struct{}

func (MembersChanged) isEvent()  {}
func (PeerMessage) isEvent()     {}
func (PeerUnreachable) isEvent() {}
func (Tick) isEvent()            {}
