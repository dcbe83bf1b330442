package dispatcher

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/quarantiner"
)

// stepQuarantiner passes an event to the quarantiner and carries out its effects.
func (m *Machine) stepQuarantiner(now time.Time, e quarantiner.Event) {
	for _, effect := range m.quarantiner.Step(now, e) {
		switch effect := effect.(type) {
		case quarantiner.LimitTasks:
			m.stepPlacer(now, placer.AllowanceChanged{Backend: effect.Backend, Tasks: effect.Tasks})
		case quarantiner.Broadcast:
			m.broadcast(effect.Message)
		}
	}
}

// setRacks tells the quarantiner which backend servers are in which rack.
func (m *Machine) setRacks(now time.Time, backends []placer.Backend) {
	racks := make(map[identifier.BackendID]identifier.RackID, len(backends))
	for _, b := range backends {
		racks[b.ID] = b.Rack
	}
	m.stepQuarantiner(now, quarantiner.RacksChanged{Racks: racks})
}

// broadcast sends a message to all peers.
func (m *Machine) broadcast(message peermessenger.Message) {
	members := make([]identifier.Member, 0, len(m.peers))
	for member := range m.peers {
		members = append(members, member)
	}
	slices.SortFunc(members, compareMembers)
	for _, member := range members {
		m.emit(Send{To: member, Message: message})
	}
}
