package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/assigner"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// The servers of a failure domain are divided among its neighborhoods by their
// weights, and the servers of a neighborhood among its live VMs. So the VMs that
// take a lost VM's servers over are those that notice its silence first, and a VM
// computes the owners of its neighborhood's servers alone.

// assignment names the VM that should own a server, and since when it has been
// the same.
type assignment struct {
	owner identifier.VMID
	since time.Time
}

// assignmentInput is the input that the current assignments were computed from.
type assignmentInput struct {
	stale   bool
	groups  []domainGroup              // the neighborhoods of this VM's failure domain
	vacant  []identifier.FailureDomain // that have servers, and no live VM
	liveVMs []assigner.VM              // of all domains, if some are vacant
}

// domainGroup is a neighborhood of this VM's failure domain.
type domainGroup struct {
	weight int           // of its known VMs; 0 if none is alive
	live   []assigner.VM // sorted
}

func (g domainGroup) equal(other domainGroup) bool {
	return g.weight == other.weight && slices.Equal(g.live, other.live)
}

// equal reports whether two inputs lead to the same assignments.
func (in assignmentInput) equal(other assignmentInput) bool {
	return in.stale == other.stale && slices.EqualFunc(in.groups, other.groups, domainGroup.equal) &&
		slices.Equal(in.vacant, other.vacant) && slices.Equal(in.liveVMs, other.liveVMs)
}

// collectAssignmentInput returns the input as of now.
func (m *Machine) collectAssignmentInput() assignmentInput {
	in := assignmentInput{groups: make([]domainGroup, m.domainParts)}
	if !m.draining {
		in.groups[m.ownPart].add(assigner.VM{ID: m.opts.Self.VM, Weight: m.opts.Weight}, true)
	}
	occupied := map[identifier.FailureDomain]bool{m.opts.Domain: !m.draining}
	for _, p := range m.sortedPeers() {
		live := m.alive(p) && !p.draining
		if live {
			occupied[p.domain] = true
		}
		if p.domain == m.opts.Domain && !p.draining {
			in.groups[p.part].add(assigner.VM{ID: p.member.VM, Weight: p.weight}, live)
		}
	}
	for i := range in.groups {
		g := &in.groups[i]
		g.weight += m.unheardWeight[i]
		if len(g.live) == 0 && (i == m.ownPart || !m.sparse) {
			g.weight = 0
		}
	}
	if m.sparse { // then most live VMs are not heard
		for _, vm := range m.listedVMs {
			occupied[vm.Domain] = true
		}
	}
	for _, d := range m.serverDomains {
		if !occupied[d] {
			in.vacant = append(in.vacant, d)
		}
	}
	if len(in.vacant) > 0 {
		in.liveVMs = m.liveVMs(func(identifier.FailureDomain) bool { return true })
	}
	return in
}

// add adds a VM to a group. The weight of a lost VM counts until it is forgotten, so
// that its servers stay in the group.
func (g *domainGroup) add(vm assigner.VM, live bool) {
	g.weight += max(vm.Weight, 1)
	if live {
		g.live = append(g.live, vm)
	}
}

// liveVMs returns the VMs that can own servers, this one included, in the failure
// domains that are wanted.
func (m *Machine) liveVMs(wanted func(identifier.FailureDomain) bool) (vms []assigner.VM) {
	if !m.draining && wanted(m.opts.Domain) {
		vms = append(vms, assigner.VM{ID: m.opts.Self.VM, Weight: m.opts.Weight})
	}
	for _, p := range m.sortedPeers() {
		if m.alive(p) && !p.draining && wanted(p.domain) {
			vms = append(vms, assigner.VM{ID: p.member.VM, Weight: p.weight})
		}
	}
	return vms
}

// updateAssignments recomputes which VM should own which server if the live VMs
// or the servers have changed: the servers of this VM's neighborhood, those of
// domains without a live VM, and those that this VM owns.
func (m *Machine) updateAssignments() {
	in := m.collectAssignmentInput()
	if in.equal(m.assignmentInput) {
		return
	}
	m.assignmentInput = in
	weights := make([]int, len(in.groups))
	for i, g := range in.groups {
		weights[i] = g.weight
	}
	m.assignedIDs = m.assignedIDs[:0]
	for _, id := range m.serverIDs {
		owner, relevant := m.computeOwner(id, weights)
		if !relevant {
			delete(m.assignments, id)
			continue
		}
		m.counters.Assignments++
		m.assignedIDs = append(m.assignedIDs, id)
		if a, ok := m.assignments[id]; !ok || a.owner != owner {
			m.assignments[id] = assignment{owner: owner, since: m.now}
		}
	}
	for id := range m.assignments {
		if _, listed := m.servers[id]; !listed {
			delete(m.assignments, id)
		}
	}
}

// computeOwner returns the VM that should own a server, and whether that concerns
// this VM.
func (m *Machine) computeOwner(id identifier.BackendID, weights []int) (owner identifier.VMID, relevant bool) {
	domain, owned := m.servers[id].Domain, m.owned[id] != nil
	switch {
	case slices.Contains(m.assignmentInput.vacant, domain):
		owner, _ = assigner.Owner(id, m.assignmentInput.liveVMs)
		return owner, true
	case domain == m.opts.Domain:
		part, ok := assigner.Group(id, weights)
		if !ok || part != m.ownPart && !owned {
			return "", false
		}
		owner, _ = assigner.Owner(id, m.assignmentInput.groups[part].live)
		return owner, true
	case owned:
		owner, _ = assigner.Owner(id, m.liveVMs(func(d identifier.FailureDomain) bool { return d == domain }))
		return owner, true
	}
	return "", false
}
