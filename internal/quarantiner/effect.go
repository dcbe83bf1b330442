package quarantiner

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is an action that the caller has to carry out after an event.
type Effect interface{ isEffect() }

// LimitTasks bounds how many tasks this entry VM may run at once on a backend server.
type LimitTasks struct {
	Backend identifier.BackendID
	Tasks   identifier.Slots // 0 allows none, Unlimited removes the bound
}

// Unlimited is the allowance of a healthy backend server.
const Unlimited identifier.Slots = -1

// Broadcast sends a message to the other entry VMs.
type Broadcast struct{ Message peermessenger.Message }

func (LimitTasks) isEffect() {}
func (Broadcast) isEffect()  {}
