package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
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

// setEvacuated replaces the list of evacuated failure domains. Queued tasks wait for the
// capacity that is left.
func (m *Machine) setEvacuated(now time.Time, domains []identifier.FailureDomain) {
	m.placer.SetEvacuated(now, domains)
	m.limiter.SetCapacity(now, m.placer.AcceptingSlots(now))
	m.opts.Counters.EvacuatedDomains.Store(int64(len(domains)))
	m.startQueued(now)
}
