package dispatcher

import "time"

// drain begins a graceful shutdown: running jobs finish, no new one starts.
func (m *Machine) drain(now time.Time) {
	if m.draining {
		return
	}
	m.draining = true
	m.claimsDrain(now)
	m.checkDrained()
}

// checkDrained reports, once, that the process may end.
func (m *Machine) checkDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 || len(m.forwards) > 0 || !m.claims.handedOver() {
		return
	}
	m.drained = true
	m.emit(Drained{})
}
