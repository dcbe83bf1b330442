package repeater

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// A neighborhood is a group of VMs that report to each other often and run each
// other's tasks. It answers the load of large fleets: what a VM sends and reads
// grows with its neighborhood, not with the fleet. VMs beyond it report rarely,
// and often only while one of them runs tasks of the other.

const (
	// defaultNeighborhood is the largest number of VMs that all report to each
	// other often: with it, load reports cost a small VM under a tenth of its
	// processor time.
	defaultNeighborhood = 16
	// farInterval is the time between two load reports to a VM beyond the
	// neighborhood.
	farInterval = time.Second
	// farSilence is how long such a VM may be silent until it is lost: two reports,
	// and what a near one may be silent.
	farSilence = 2*farInterval + silenceBound
	// lingering is how long a VM goes on to report often after the last task that
	// it shares with the receiver. It covers the difference between the two views.
	lingering = 1500 * time.Millisecond
)

// neighbors reports whether two VMs of a fleet are in the same neighborhood: all
// of a small fleet, and otherwise the part of a failure domain that a hash of
// the names makes. VMs that count the fleet differently agree in time; until
// then each keeps to what the other has announced.
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

// findNeighbors marks and counts the peers of this VM's neighborhood.
func (m *Machine) findNeighbors() {
	inDomain := 1
	for _, p := range m.peers {
		if p.domain == m.opts.Domain {
			inDomain++
		}
	}
	m.nearby = 0
	for id, p := range m.peers {
		p.near = neighbors(m.opts.Self.VM, id, m.opts.Domain, p.domain, len(m.peers)+1, inDomain, m.opts.neighborhood())
		if p.near {
			m.nearby++
		}
	}
}

// share records that this VM and a peer have a task in common.
func (m *Machine) share(member identifier.Member) {
	p := m.peers[member.VM]
	if p == nil || p.member != member {
		return
	}
	if !p.sharing {
		p.sharing, p.sharingSince = true, m.now
	}
	p.sharedAt = m.now
}

// findShared brings up to date which peers have tasks in common with this VM.
func (m *Machine) findShared() {
	common := make(map[identifier.Member]bool)
	for _, j := range m.jobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == taskSent || t.state == taskPlaced {
				common[t.owner] = true
			}
		}
	}
	for _, q := range m.queue {
		common[q.home] = true
	}
	for _, o := range m.owned {
		for _, r := range o.runs {
			common[r.home] = true
		}
	}
	for _, p := range m.peers {
		if common[p.member] {
			m.share(p.member)
		} else {
			p.sharing = false
		}
	}
}

// silence is how long a peer has been silent although it was due to report.
func (m *Machine) silence(p *peer) time.Duration {
	since := p.heard
	if p.sharing && p.sharingSince.After(since) {
		since = p.sharingSince
	}
	return m.now.Sub(since)
}

// silent reports whether a peer has been silent for too long.
func (m *Machine) silent(p *peer) bool {
	if p.sharing || p.announced <= reportInterval {
		return m.silence(p) > silenceBound
	}
	return m.silence(p) > farSilence
}

// announce returns the time within which a peer will get the next load report.
func (m *Machine) announce(p *peer) time.Duration {
	if p.near || m.now.Sub(p.sharedAt) <= lingering {
		return reportInterval
	}
	return farInterval
}
