package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/placer"
)

// setBackends replaces the list of backend servers.
func (m *Machine) setBackends(now time.Time, backends []placer.Backend) {
	m.placer.SetBackends(now, backends)
	m.setRacks(now, backends)
	clear(m.addresses)
	m.listedSlots = 0
	for _, b := range backends {
		m.listedSlots += b.Slots
		m.addresses[b.ID] = b.Address
	}
	m.limiter.SetCapacity(now, m.placer.AcceptingSlots(now))
	m.startQueued(now)
}
