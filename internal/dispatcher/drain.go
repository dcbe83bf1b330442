package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/claimer"
)

// drain begins a graceful shutdown: active jobs finish. It stops no new job; jobs
// start until a roster that marks this VM as leaving is adopted.
func (m *Machine) drain(now time.Time) {
	if m.draining {
		return
	}
	m.draining = true
	m.stepClaimer(now, claimer.DrainRequested{})
	m.checkDrained()
}

// checkDrained reports Drained, once, when the process may end.
func (m *Machine) checkDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 || len(m.forwards) > 0 || !m.recordsHandedOver {
		return
	}
	m.drained = true
	m.emit(Drained{})
}
