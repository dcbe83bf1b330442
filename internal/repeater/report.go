package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	// copyInterval is the shortest time between two copies of the directory to one
	// peer.
	copyInterval = time.Second
	// copyDelay is how long a peer may take to read a change from the store
	// before it is sent a copy: several response times of the store.
	copyDelay = 300 * time.Millisecond

	// reportsOfLoss is the number of load reports to one peer that repeat a lost run,
	// since reports can be lost with a link.
	reportsOfLoss = 5
	// maxReportedLosses bounds the lost runs in one load report.
	maxReportedLosses = 256
)

// sendDueReports sends the load report to the peers for which it is due. When
// the load has changed, neighbors get it after the minimum spacing already.
func (m *Machine) sendDueReports() {
	since := m.now.Sub(m.reportedAt)
	spacing := minReportSpacing * time.Duration(1+m.oftenCount()/neighborsPerSpacing)
	if since < reportInterval && (!m.reportChanged || since < spacing) {
		return
	}
	m.reportedAt = m.now
	m.reportChanged = false
	evacuations, _ := m.evacuations.Told()
	var often, rarely []identifier.Member
	for _, p := range m.sortedPeers() {
		next := m.reportIntervalTo(p)
		switch {
		case !p.linked:
		case next == reportInterval:
			often = append(often, p.member)
			p.promisedInterval, p.evacuationsTold = next, evacuations.Revision
		case !m.now.Before(p.nextReportAt) || p.promisedInterval != next:
			rarely = append(rarely, p.member)
			p.promisedInterval, p.nextReportAt, p.evacuationsTold = next, m.now.Add(next), evacuations.Revision
		}
	}
	msg := m.loadReport()
	msg.Losses = m.losses.LearnedSince(m.now.Add(-reportsOfLoss*reportInterval), maxReportedLosses)
	m.broadcast(often, msg, reportInterval)
	msg.Losses = m.losses.LearnedSince(m.now.Add(-reportsOfLoss*m.farReportInterval()), maxReportedLosses)
	m.broadcast(rarely, msg, m.farReportInterval())
}

func (m *Machine) broadcast(to []identifier.Member, msg peermessenger.LoadReport, next time.Duration) {
	if len(to) == 0 {
		return
	}
	msg.Next = next
	m.emit(Broadcast{To: to, Message: msg})
}

// sendReport sends the load report to a peer at once.
func (m *Machine) sendReport(p *peer) {
	p.promisedInterval = m.reportIntervalTo(p)
	p.nextReportAt = m.now.Add(p.promisedInterval)
	msg := m.loadReport()
	p.evacuationsTold = msg.EvacuationsRevision
	msg.Losses = m.losses.LearnedSince(time.Time{}, maxReportedLosses)
	m.broadcast([]identifier.Member{p.member}, msg, p.promisedInterval)
}

func (m *Machine) loadReport() peermessenger.LoadReport {
	m.lastReportNumber++
	r := peermessenger.LoadReport{
		Sequence:        m.lastReportNumber,
		Draining:        m.draining,
		Weight:          m.opts.Weight,
		Queued:          m.queuedWork(),
		ServersRevision: m.serversRevision,
		Isolating:       m.isolating(),
	}
	if !m.serversAsOf.IsZero() {
		r.ServersAge = max(m.now.Sub(m.serversAsOf), 1)
	}
	if l, ok := m.evacuations.Told(); ok {
		r.EvacuationsRevision, r.Evacuated = l.Revision, l.Domains
	}
	if m.pairs != nil {
		r.Pairs = m.pairs.found
	}
	if m.routes != nil {
		r.RoutesVersion = uint64(m.routes.Version)
	}
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		if !o.confirmed {
			continue // another VM may still own it
		}
		load := peermessenger.ServerLoad{Backend: id, Token: o.token, Usable: o.usable(m.now) && m.knowsCapacity(o), Pace: o.reportedPace()}
		if load.Usable && o.canStart(m.now) {
			load.Free, load.FreeMemory = o.free(m.now)
		}
		r.Servers = append(r.Servers, load)
	}
	return r
}

// queuedWork returns the work of the queue by priority.
func (m *Machine) queuedWork() (w peermessenger.QueuedWork) {
	for _, q := range m.queue {
		if q.msg.Alone {
			continue // other tasks don't wait for it
		}
		w[min(max(q.msg.Priority, 0), len(w)-1)] += taskWork(q.msg.Millicores, q.msg.Estimate)
	}
	return w
}

// taskWork returns a task's demand in millicores times milliseconds.
func taskWork(cores identifier.Millicores, estimate time.Duration) int64 {
	return int64(cores) * max(estimate.Milliseconds(), 1)
}

// sendDirectoryCopy sends a peer the routes if it has older ones or none, and the
// servers only if it has no list of them.
func (m *Machine) sendDirectoryCopy(p *peer) {
	if m.routes == nil || m.now.Sub(p.copySentAt) < copyInterval || m.now.Sub(m.routesChangedAt) < copyDelay {
		return
	}
	var msg peermessenger.DirectoryCopy
	if p.routesVersion < uint64(m.routes.Version) {
		data, err := m.routes.Encode()
		if err != nil {
			m.logDecision("copyFailed", "err", err)
			return
		}
		msg.Routes = data
	}
	if p.serversRevision == 0 && len(m.servers) > 0 {
		data, err := EncodeServers(m.serverList())
		if err != nil {
			m.logDecision("copyFailed", "err", err)
			return
		}
		msg.Servers, msg.ServersRevision = data, m.serversRevision
	}
	if msg.Routes == nil && msg.Servers == nil {
		return
	}
	p.copySentAt = m.now
	m.emit(SendMessage{To: p.member, Message: msg})
}
