package quarantiner

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is what the caller has to do after an event.
type Effect interface{ isEffect() }

// Allow bounds the tasks that this entry VM runs at once on a backend server.
type Allow struct {
	Backend identifier.BackendID
	Tasks   identifier.Slots // Unlimited lifts the bound
}

// Unlimited is the allowance of a healthy backend server.
const Unlimited identifier.Slots = -1

// Broadcast sends a message to the other entry VMs.
type Broadcast struct{ Message peermessenger.Message }

func (Allow) isEffect()     {}
func (Broadcast) isEffect() {}
