package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// firstSlowSuspension is the first suspension of a slow server. Servers stay
	// slow for seconds, and each run there on probation is probably late.
	firstSlowSuspension = time.Second
	// usualPaceFactor is how many times its estimate, at the pace of its server, a run may
	// take that shows the server to be as fast as usual: estimates are off by 40%.
	usualPaceFactor = 1.5
	// minMedianServers is the number of judged servers from which their median is
	// used.
	minMedianServers = 3
	// pacePercent is the unit in which VMs report paces.
	pacePercent = 100
)

// usualPace returns the median pace of the servers of this VM whose pace is known, or 1 when
// they are too few: the estimates are then assumed to be right on average.
func (m *Machine) usualPace() float64 {
	var paces []float64
	for _, o := range m.owned {
		if o.pace.Known() {
			paces = append(paces, o.pace.Pace())
		}
	}
	if len(paces) < minMedianServers {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// recordCompletedRun records a run that a server completed. It clears the
// server's failures, or suspends the server because it is slow.
func (m *Machine) recordCompletedRun(o *ownedServer, r *run) {
	if r.startedAt.IsZero() || r.msg.Estimate <= 0 || !o.lastUnansweredAt.Before(r.startedAt) || len(r.msg.Avoid) > 0 {
		// The run time is unknown: after a call without an answer, ends are seen
		// late. Or the task has failed or lagged on another server and may be slow itself.
		o.clearFailures()
		return
	}
	if o.suspension > 0 {
		o.pace.ForgetRecent() // on probation only the runs from now on count
	}
	// The time of messages and calls is not counted against a server that runs short tasks.
	elapsed, estimate := m.now.Sub(r.startedAt), r.msg.Estimate+networkAllowance
	m.observePairs(o, r, elapsed, estimate)
	o.pace.Observe(elapsed, estimate)
	usual := m.usualPace()
	if float64(elapsed) <= usualPaceFactor*max(usual, o.pace.Pace())*float64(estimate) {
		o.usualPaceSince = later(o.usualPaceSince, r.startedAt)
	}
	if o.pace.TurnedSlow(usual) {
		m.suspendServer(o, "it is slow", firstSlowSuspension)
		return
	}
	o.clearFailures()
}

// paceOf returns how long tasks take on a server in relation to their estimates, as its
// owner has measured.
func (m *Machine) paceOf(id identifier.BackendID) float64 {
	if o := m.owned[id]; o != nil && o.pace.Known() {
		return o.pace.Pace()
	}
	if pace, ok := m.paces[id]; ok {
		return pace
	}
	return 1
}

// reportedPace returns a server's pace for load reports: in percent, and 0 for the pace of a
// typical server.
func (o *ownedServer) reportedPace() int {
	if pace := o.pace.Pace(); pace != 1 {
		return int(pace*pacePercent + 0.5)
	}
	return 0
}

// recordPace records the pace of a server that its owner reports.
func (m *Machine) recordPace(id identifier.BackendID, percent int) {
	if percent <= 0 {
		delete(m.paces, id)
		return
	}
	m.paces[id] = float64(percent) / pacePercent
}
