package repeater

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/evacuator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/warmer"
)

// The backend servers of an evacuated failure domain get no new tasks. What runs there
// ends, and what is queued for them goes back to its home, which sends it elsewhere. Both
// the home and the owner refrain: either may learn of an evacuation first.

const (
	// causeEvacuated is the cause of tasks that an owner returns because only evacuated
	// servers could run them.
	causeEvacuated = "evacuated"
	// evacuatedRetryAfter is when callers may ask again whose servers are all evacuated:
	// operators take that long at least to move callers or to take a domain back.
	evacuatedRetryAfter = 5 * time.Second
)

// changeEvacuations handles a list of evacuated failure domains.
func (m *Machine) changeEvacuations(l evacuator.List, from evacuator.Source) {
	c := m.evacuations.Update(l, from)
	if c.Empty() {
		return
	}
	for _, d := range c.Evacuated {
		m.counters.Evacuations++
		m.logDecision("domainEvacuated", "domain", d, "revision", l.Revision, "source", from, "servers", m.serversIn(d), "running", m.runsIn(d))
	}
	for _, d := range c.TakenBack {
		m.logDecision("domainTakenBack", "domain", d, "revision", l.Revision, "source", from, "servers", m.serversIn(d), "cold", m.coldServersIn(d))
	}
	for _, o := range m.owned {
		m.markEvacuated(o)
	}
	m.updateEvacuatedPools()
	m.reportChanged = true
	m.returnEvacuatedTasks()
}

func (m *Machine) markEvacuated(o *ownedServer) {
	o.evacuated = m.evacuations.Evacuated(o.Domain) && !m.opts.defects.startEvacuated
}

// returnEvacuatedTasks returns the queued tasks to their homes that only evacuated
// servers of this VM could run.
func (m *Machine) returnEvacuatedTasks() {
	queued := m.queue
	m.queue = nil
	for _, q := range queued {
		if m.queueRefusal(q.msg) != causeEvacuated {
			m.queue = append(m.queue, q)
			continue
		}
		m.returnEvacuatedTask(q.home, q.msg.Run)
	}
	if moved := len(queued) - len(m.queue); moved > 0 {
		m.logDecision("queueEvacuated", "moved", moved, "kept", len(m.queue))
	}
}

// returnEvacuatedTask returns a task to its home. The home hears of the evacuation first,
// so that it sends the task elsewhere.
func (m *Machine) returnEvacuatedTask(home identifier.Member, ref identifier.RunRef) {
	m.counters.TasksMoved++
	if p := m.peers[home.VM]; p != nil && p.member == home && p.linked {
		if l, _ := m.evacuations.Told(); p.evacuationsTold < l.Revision {
			m.sendReport(p)
		}
	}
	m.sendMessage(home, peermessenger.TaskEnded{Run: ref, Ending: peermessenger.RunNotStarted, Cause: causeEvacuated})
}

// learnEvacuations handles the list in a peer's load report.
func (m *Machine) learnEvacuations(r peermessenger.LoadReport) {
	if r.EvacuationsRevision == 0 || m.opts.defects.ignorePeersEvacuations {
		return
	}
	told := evacuator.List{Revision: r.EvacuationsRevision, Domains: r.Evacuated}
	if m.evacuations.Outdates(told) {
		m.reportChanged = true
		return
	}
	m.changeEvacuations(told, evacuator.FromPeer)
}

// updateEvacuatedPools determines the pools whose servers are all evacuated.
func (m *Machine) updateEvacuatedPools() {
	m.evacuatedPools = nil
	if len(m.evacuations.Domains()) == 0 {
		return
	}
	m.evacuatedPools = make(map[identifier.PoolID]bool)
	for _, s := range m.servers {
		all, known := m.evacuatedPools[s.Pool]
		m.evacuatedPools[s.Pool] = (all || !known) && m.evacuations.Evacuated(s.Domain)
	}
}

func (m *Machine) serversIn(d identifier.FailureDomain) (n int) {
	for _, s := range m.servers {
		if s.Domain == d {
			n++
		}
	}
	return n
}

func (m *Machine) coldServersIn(d identifier.FailureDomain) (n int) {
	for _, s := range m.servers {
		if s.Domain == d && s.coldLeft(m.now) > 0 {
			n++
		}
	}
	return n
}

// runsIn returns the number of runs at this VM's servers in a failure domain.
func (m *Machine) runsIn(d identifier.FailureDomain) (n int) {
	for _, o := range m.owned {
		if o.Domain == d {
			n += len(o.runs)
		}
	}
	return n
}

// peersFor returns the peers in the order in which equally good servers of theirs are
// chosen for a job. The VMs of an evacuated failure domain all look for servers of the
// others; each job starts at another peer, so that they don't meet at one.
func (m *Machine) peersFor(j *openJob) []*peer {
	peers := m.sortedPeers()
	if len(peers) == 0 || !m.evacuations.Evacuated(m.opts.Domain) {
		return peers
	}
	first := int(xxhash.Sum64String(string(j.ID)) % uint64(len(peers)))
	rotated := make([]*peer, 0, len(peers))
	return append(append(rotated, peers[first:]...), peers[:first]...)
}

// coldLeft returns how much longer a server is slow after its start.
func (s Server) coldLeft(now time.Time) time.Duration {
	if s.ColdUntilMillis == 0 {
		return 0
	}
	return max(time.UnixMilli(s.ColdUntilMillis).Sub(now), 0)
}

// trackWarmup records how long a server that is slow after its start takes to get warm, as
// far as this VM has seen.
func (o *ownedServer) trackWarmup(now time.Time) {
	if o.warmupOf != o.Generation {
		o.warmupOf, o.warmup = o.Generation, 0
	}
	o.warmup = max(o.warmup, o.coldLeft(now))
}

// warmCores returns the part of a server's cores that tasks may use while it is slow after
// its start. One task may use it in any case.
func (o *ownedServer) warmCores(now time.Time) identifier.Millicores {
	left := o.coldLeft(now)
	if left <= 0 || len(o.runs) == 0 {
		return o.Cores
	}
	return identifier.Millicores(float64(o.Cores) * warmer.Share(left, o.warmup))
}
