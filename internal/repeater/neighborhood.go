package repeater

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// A neighborhood is a group of VMs that report to each other at short intervals,
// run each other's tasks and own the same servers. In large fleets, what a VM sends
// and reads thus grows with its neighborhood, not with the fleet. Each VM has some
// contacts beyond its neighborhood, which run the tasks that find no room in it. The
// other VMs get reports at long intervals, and at short ones only while one of them
// runs tasks of the other.

const (
	// defaultNeighborhood is the largest number of VMs that all report to each
	// other at short intervals: load reports then cost a small VM less than a
	// tenth of its processor time.
	defaultNeighborhood = 16
	// defaultFarContacts is the largest number of VMs beyond the neighborhood that
	// are all contacts, with reports at long intervals.
	defaultFarContacts = 40
	// maxContacts is the usual bound of the contacts, with reports at short
	// intervals, where more VMs are beyond the neighborhood. A VM has half of it or
	// more on average.
	maxContacts = 12
	// minFarReportInterval is the shortest time between two load reports to a VM
	// that is no neighbor, and maxFarReportsPerSecond bounds those to all such VMs.
	minFarReportInterval   = time.Second
	maxFarReportsPerSecond = 40
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
	parts := partsOf(inDomain, bound)
	return partOf(a, parts) == partOf(b, parts)
}

// partsOf returns the number of parts, a power of two, into which some VMs are
// divided so that a part has about bound of them at most.
func partsOf(vms, bound int) int {
	parts := 1
	for vms > parts*bound {
		parts *= 2
	}
	return parts
}

func partOf(vm identifier.VMID, parts int) int {
	return int(xxhash.Sum64String(string(vm)) % uint64(parts))
}

// contacts reports whether two VMs that are not neighbors are contacts: all of them
// if they are few, otherwise pairs chosen by a hash.
func contacts(a, b identifier.VMID, far, bound int) bool {
	if far <= bound {
		return true
	}
	h := xxhash.Sum64String(string(min(a, b)) + "\x00" + string(max(a, b)))
	return h%uint64(partsOf(far, min(bound, maxContacts))) == 0
}

// listedVM is a VM that the store lists or has listed lately.
type listedVM struct {
	ListedVM
	missingSince time.Time // zero: the store lists it
}

// changeListedVMs replaces the VMs that the store lists. One that is missing now counts
// for forgetPeerAfter: the store may have lost its entry, and what depends on the number
// and the weight of the VMs should not change before the entry is back.
func (m *Machine) changeListedVMs(vms []ListedVM) {
	next := make(map[identifier.VMID]listedVM, len(vms))
	for _, vm := range vms {
		next[vm.ID] = listedVM{ListedVM: vm}
	}
	for id, vm := range m.listedVMs {
		if _, listed := next[id]; listed {
			continue
		}
		if vm.missingSince.IsZero() {
			vm.missingSince = m.now
		}
		next[id] = vm
	}
	m.listedVMs = next
	m.updateNeighbors()
	m.emit(m.keptLinks) // an address may have changed
}

// forgetMissingVMs drops the VMs that the store has not listed for forgetPeerAfter.
func (m *Machine) forgetMissingVMs() {
	forgotten := false
	for id, vm := range m.listedVMs {
		if !vm.missingSince.IsZero() && m.now.Sub(vm.missingSince) > forgetPeerAfter {
			delete(m.listedVMs, id)
			forgotten = true
		}
	}
	if forgotten {
		m.updateNeighbors()
	}
}

// knownVMs returns the failure domains of the other VMs that this one has heard of
// lately or that the store lists.
func (m *Machine) knownVMs() map[identifier.VMID]identifier.FailureDomain {
	known := make(map[identifier.VMID]identifier.FailureDomain, len(m.listedVMs)+len(m.peers))
	for id, vm := range m.listedVMs {
		known[id] = vm.Domain
	}
	for id, p := range m.peers {
		known[id] = p.domain
	}
	delete(known, m.opts.Self.VM)
	return known
}

// updateNeighbors determines the neighborhood and the contacts of this VM, and the
// links that it needs. In a large fleet these are the links to both.
func (m *Machine) updateNeighbors() {
	known, bound := m.knownVMs(), m.opts.maxNeighborhood()
	inDomain, fleet := 1, len(known)+1
	for _, domain := range known {
		if domain == m.opts.Domain {
			inDomain++
		}
	}
	m.domainParts = 1
	if fleet > bound {
		m.domainParts = partsOf(inDomain, bound)
	}
	m.ownPart = partOf(m.opts.Self.VM, m.domainParts)
	near := make(map[identifier.VMID]bool)
	for id, domain := range known {
		if neighbors(m.opts.Self.VM, id, m.opts.Domain, domain, fleet, inDomain, bound) {
			near[id] = true
		}
	}
	m.neighborCount, m.contactCount, m.farCount = len(near), 0, len(known)-len(near)
	m.sparse = m.fewContacts() && len(m.listedVMs) > 0
	needed := KeepLinks{All: !m.sparse}
	m.unheardWeight = make([]int, m.domainParts)
	for id, domain := range known {
		contact := !near[id] && contacts(m.opts.Self.VM, id, m.farCount, m.opts.maxFarContacts())
		if contact {
			m.contactCount++
		}
		if m.sparse && (near[id] || contact || domain == "") {
			needed.VMs = append(needed.VMs, id)
		}
		p := m.peers[id]
		if p == nil {
			if domain == m.opts.Domain {
				m.unheardWeight[partOf(id, m.domainParts)] += max(m.listedVMs[id].Weight, 1)
			}
			continue
		}
		p.near, p.contact, p.part = near[id], contact, partOf(id, m.domainParts)
	}
	slices.Sort(needed.VMs)
	if needed.All != m.keptLinks.All || !slices.Equal(needed.VMs, m.keptLinks.VMs) {
		m.keptLinks = needed
		m.emit(needed)
	}
}

// fewContacts reports whether so many VMs are beyond the neighborhood that only some
// of them are contacts.
func (m *Machine) fewContacts() bool { return m.farCount > m.opts.maxFarContacts() }

// neighborhoodHas reports whether a listed VM is in this VM's neighborhood.
func (m *Machine) neighborhoodHas(id identifier.VMID) bool {
	return m.listedVMs[id].Domain == m.opts.Domain && partOf(id, m.domainParts) == m.ownPart
}

// farReportInterval returns the time between two load reports to a VM that is neither
// a neighbor nor, in a large fleet, a contact.
func (m *Machine) farReportInterval() time.Duration {
	return max(minFarReportInterval, time.Duration(m.farCount)*time.Second/maxFarReportsPerSecond)
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
// bound: two of the intervals that it has announced, plus the bound for a neighbor.
func (m *Machine) silentTooLong(p *peer) bool {
	if p.sharesTasks || p.announcedInterval <= reportInterval {
		return m.silence(p) > silenceBound
	}
	return m.silence(p) > 2*p.announcedInterval+silenceBound
}

// reportsOften reports whether this VM and a peer report to each other at short
// intervals, whether they share tasks or not.
func (m *Machine) reportsOften(p *peer) bool {
	return p.near || p.contact && m.fewContacts()
}

// oftenCount returns the number of peers to which this VM always reports at short
// intervals.
func (m *Machine) oftenCount() int {
	if m.fewContacts() {
		return m.neighborCount + m.contactCount
	}
	return m.neighborCount
}

// reportIntervalTo returns the time within which a peer gets the next load
// report.
func (m *Machine) reportIntervalTo(p *peer) time.Duration {
	if m.reportsOften(p) || m.now.Sub(p.lastSharedAt) <= sharingLinger {
		return reportInterval
	}
	return m.farReportInterval()
}
