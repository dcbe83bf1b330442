package repeater

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// A neighborhood is a group of VMs that report to each other at short intervals
// and run each other's tasks. In large fleets, what a VM sends and reads thus
// grows with its neighborhood, not with the fleet. VMs beyond the neighborhood
// get reports at long intervals, and at short ones only while one of them runs
// tasks of the other.

const (
	// defaultNeighborhood is the largest number of VMs that all report to each
	// other at short intervals: load reports then cost a small VM less than a
	// tenth of its processor time.
	defaultNeighborhood = 16
	// farReportInterval is the time between two load reports to a VM beyond the
	// neighborhood.
	farReportInterval = time.Second
	// farSilenceBound is how long a VM beyond the neighborhood may be silent
	// before it is lost: two report intervals, plus the bound for a neighbor.
	farSilenceBound = 2*farReportInterval + silenceBound
	// sharingLinger is how long a VM continues to report at short intervals after
	// the last task that it shares with the receiver, since the two may see the
	// end of that task at different times.
	sharingLinger = 1500 * time.Millisecond
)

// neighbors reports whether two VMs are in the same neighborhood. A small fleet
// is one neighborhood. In a larger one, the neighborhoods are parts of a
// failure domain, chosen by a hash of the VM names. VMs that count the fleet
// differently agree in time; until then each relies on the interval that the
// other has announced.
func neighbors(a, b identifier.VMID, domainA, domainB identifier.FailureDomain, fleet, inDomain, bound int) bool {
	if fleet <= bound {
		return true
	}
	if domainA != domainB {
		return false
	}
	parts := uint64(1)
	for uint64(inDomain) > parts*uint64(bound) {
		parts *= 2
	}
	return xxhash.Sum64String(string(a))%parts == xxhash.Sum64String(string(b))%parts
}

// updateNeighbors marks and counts the peers in this VM's neighborhood.
func (m *Machine) updateNeighbors() {
	inDomain := 1
	for _, p := range m.peers {
		if p.domain == m.opts.Domain {
			inDomain++
		}
	}
	m.neighborCount = 0
	for id, p := range m.peers {
		p.near = neighbors(m.opts.Self.VM, id, m.opts.Domain, p.domain, len(m.peers)+1, inDomain, m.opts.maxNeighborhood())
		if p.near {
			m.neighborCount++
		}
	}
}

// markSharing records that this VM and a peer share a task.
func (m *Machine) markSharing(member identifier.Member) {
	p := m.peers[member.VM]
	if p == nil || p.member != member {
		return
	}
	if !p.sharesTasks {
		p.sharesTasks, p.sharingSince = true, m.now
	}
	p.lastSharedAt = m.now
}

// updateSharing recomputes which peers share tasks with this VM.
func (m *Machine) updateSharing() {
	shared := make(map[identifier.Member]bool)
	for _, j := range m.jobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == taskSent || t.state == taskPlaced {
				shared[t.owner] = true
			}
		}
	}
	for _, q := range m.queue {
		shared[q.home] = true
	}
	for _, o := range m.owned {
		for _, r := range o.runs {
			shared[r.home] = true
		}
	}
	for _, p := range m.peers {
		if shared[p.member] {
			m.markSharing(p.member)
		} else {
			p.sharesTasks = false
		}
	}
}

// silence returns the time since a peer was last heard or, if that is shorter,
// since the two began to share tasks.
func (m *Machine) silence(p *peer) time.Duration {
	since := p.lastHeard
	if p.sharesTasks && p.sharingSince.After(since) {
		since = p.sharingSince
	}
	return m.now.Sub(since)
}

// silentTooLong reports whether a peer has been silent for longer than its
// bound.
func (m *Machine) silentTooLong(p *peer) bool {
	if p.sharesTasks || p.announcedInterval <= reportInterval {
		return m.silence(p) > silenceBound
	}
	return m.silence(p) > farSilenceBound
}

// reportIntervalTo returns the time within which a peer gets the next load
// report.
func (m *Machine) reportIntervalTo(p *peer) time.Duration {
	if p.near || m.now.Sub(p.lastSharedAt) <= sharingLinger {
		return reportInterval
	}
	return farReportInterval
}
