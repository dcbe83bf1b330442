package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/evacuator"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// simEvacuationBound is when starts in an evacuated domain must have ended, for VMs that
	// have been in touch with the store and their peers for simContactTime.
	simEvacuationBound = 5 * time.Second
	simContactTime     = 4 * time.Second
)

// simEvacuations is the list of evacuated failure domains in the store.
type simEvacuations struct {
	sim      *simulation
	list     evacuator.List
	since    map[identifier.FailureDomain]time.Time
	troubled map[int]time.Time // VMs, and when each was last paused, cut off or started
	withheld int               // starts in time before the bound
}

// change evacuates a failure domain or takes it back.
func (e *simEvacuations) change(domain identifier.FailureDomain) {
	e.sim.serversRevision++
	e.list.Revision = e.sim.serversRevision
	if _, ok := e.since[domain]; ok {
		e.sim.tracef("%s is taken back", domain)
		delete(e.since, domain)
		e.list.Domains = slices.DeleteFunc(slices.Clone(e.list.Domains), func(d identifier.FailureDomain) bool { return d == domain })
	} else {
		e.sim.tracef("%s is evacuated", domain)
		e.since[domain] = e.sim.now
		e.list.Domains = append(slices.Clone(e.list.Domains), domain)
	}
	for _, vm := range e.sim.vms {
		e.deliver(vm, e.sim.randomDuration(time.Millisecond, simReportDelay))
	}
}

// deliver lets a VM read the list that the store has now.
func (e *simEvacuations) deliver(vm *simVM, d time.Duration) {
	process, list := vm.process, e.list
	e.sim.schedule(d, func() {
		if vm.process == process && !e.sim.cutFromStore[vm.index] {
			vm.step(EvacuationsChanged{List: list})
		}
	})
}

// boot lets a new process read the list, unless the store is away.
func (e *simEvacuations) boot(vm *simVM) {
	e.troubled[vm.index] = e.sim.now
	if !e.sim.cutFromStore[vm.index] {
		vm.step(EvacuationsChanged{List: e.list})
	}
}

// follow lets the VMs read the list now and then, as a follower that lost an answer does.
func (e *simEvacuations) follow(vm *simVM) {
	e.sim.schedule(simConfirmInterval, func() {
		if vm.machine != nil {
			e.deliver(vm, 0)
		}
		e.follow(vm)
	})
}

// checkStart checks that a VM in touch starts nothing in an evacuated domain.
func (e *simEvacuations) checkStart(vm *simVM, s *simServer) {
	since, evacuated := e.since[s.Domain]
	if !evacuated {
		return
	}
	if e.sim.now.Sub(since) <= simEvacuationBound {
		e.withheld++
		return
	}
	unheard := e.sim.cutFromStore[vm.index] && e.sim.anyLinkCut(vm.index)
	if e.sim.now.Sub(e.troubled[vm.index]) > simContactTime && !unheard {
		e.sim.recordViolation("vm-%d starts a task on %s, which was evacuated %v ago", vm.index, s.ID, e.sim.now.Sub(since))
	}
}

// anyLinkCut reports whether a link of a VM is cut in any direction.
func (sim *simulation) anyLinkCut(vm int) bool {
	for link, cut := range sim.cut {
		if cut && (link[0] == vm || link[1] == vm) {
			return true
		}
	}
	return false
}
