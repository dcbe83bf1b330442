package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	// helpInterval is the shortest time between two copies of the directory to
	// one peer.
	helpInterval = time.Second
	// helpDelay is how long a peer has to hear of a change by itself, before it
	// is sent a copy: several answers of the store.
	helpDelay = 300 * time.Millisecond
)

// report sends the load report where it is due, and to those that get it often
// when it has changed and the last one is a while ago.
func (m *Machine) report() {
	since := m.now.Sub(m.lastReport)
	spacing := reportSpacing * time.Duration(1+m.nearby/peersPerInterval)
	if since < reportInterval && (!m.reportDirty || since < spacing) {
		return
	}
	m.lastReport = m.now
	m.reportDirty = false
	var often, rarely []identifier.Member
	for _, p := range m.sortedPeers() {
		next := m.announce(p)
		switch {
		case !p.linked:
		case next == reportInterval:
			often = append(often, p.member)
			p.told = next
		case !m.now.Before(p.reportAt) || p.told != next:
			rarely = append(rarely, p.member)
			p.told, p.reportAt = next, m.now.Add(next)
		}
	}
	msg := m.loadReport()
	m.broadcast(often, msg, reportInterval)
	m.broadcast(rarely, msg, farInterval)
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
	p.told = m.announce(p)
	p.reportAt = m.now.Add(p.told)
	m.broadcast([]identifier.Member{p.member}, m.loadReport(), p.told)
}

func (m *Machine) loadReport() peermessenger.LoadReport {
	m.reportSeq++
	r := peermessenger.LoadReport{
		Sequence:    m.reportSeq,
		Draining:    m.draining,
		Weight:      m.opts.Weight,
		Queued:      m.queuedWork(),
		ServersSeen: m.serversRevision,
	}
	if m.routes != nil {
		r.RoutesVersion = uint64(m.routes.Version)
	}
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		if !o.confirmed {
			continue // another VM may still own it
		}
		load := peermessenger.ServerLoad{Backend: id, Token: o.token, Usable: o.usable(m.now)}
		if load.Usable && o.startable(m.now) {
			load.Free, load.FreeMemMB = o.free()
		}
		r.Servers = append(r.Servers, load)
	}
	return r
}

// queuedWork sums the queue's work by priority.
func (m *Machine) queuedWork() (w peermessenger.QueuedWork) {
	for _, q := range m.queue {
		w[min(max(q.msg.Priority, 0), len(w)-1)] += work(q.msg.Millicores, q.msg.Estimate)
	}
	return w
}

// work is a task's demand in millicores times milliseconds.
func work(cores identifier.Millicores, estimate time.Duration) int64 {
	return int64(cores) * max(estimate.Milliseconds(), 1)
}

// helpPeer sends a peer what it doesn't know yet of routes and servers.
func (m *Machine) helpPeer(p *peer) {
	if m.routes == nil || m.now.Sub(p.helpedAt) < helpInterval || m.now.Sub(m.routesChangedAt) < helpDelay {
		return
	}
	var msg peermessenger.DirectoryCopy
	if p.routes < uint64(m.routes.Version) {
		data, err := m.routes.Encode()
		if err != nil {
			m.record("copyFailed", "err", err)
			return
		}
		msg.Routes = data
	}
	if p.servers == 0 && len(m.servers) > 0 {
		data, err := EncodeServers(m.serverList())
		if err != nil {
			m.record("copyFailed", "err", err)
			return
		}
		msg.Servers, msg.ServersSeen = data, m.serversRevision
	}
	if msg.Routes == nil && msg.Servers == nil {
		return
	}
	p.helpedAt = m.now
	m.emit(SendMessage{To: p.member, Message: msg})
}
