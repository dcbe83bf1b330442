package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// simUnneededLinger is how long a link is kept that neither VM needs.
const simUnneededLinger = 800 * time.Millisecond

// keepLinks makes the links that a VM needs, and drops those that neither VM needs a
// while later.
func (vm *simVM) keepLinks(keeps KeepLinks) {
	vm.keeps = keeps
	process := vm.process
	for _, other := range vm.sim.vms {
		if other == vm {
			continue
		}
		if vm.needsLink(other) {
			vm.sim.schedule(time.Millisecond, func() { vm.sim.restoreLink(vm, other) })
			continue
		}
		vm.sim.schedule(simUnneededLinger, func() {
			if vm.process == process && vm.machine != nil && !vm.needsLink(other) && !other.needsLink(vm) {
				vm.dropLink(other)
				other.dropLink(vm)
			}
		})
	}
}

func (vm *simVM) needsLink(to *simVM) bool {
	return vm.machine != nil && (vm.keeps.All || slices.Contains(vm.keeps.VMs, vmID(to.index)))
}

// dropLink gives up the link to another VM.
func (vm *simVM) dropLink(to *simVM) {
	if link := [2]int{vm.index, to.index}; !vm.sim.dropped[link] {
		vm.sim.dropped[link] = true
		vm.step(PeerUnlinked{Peer: identifier.Member{VM: vmID(to.index), Incarnation: to.member.Incarnation}, Unneeded: true})
	}
}

// restoreLink links two VMs again whose link was dropped.
func (sim *simulation) restoreLink(a, b *simVM) {
	for _, pair := range [][2]*simVM{{a, b}, {b, a}} {
		if sim.dropped[[2]int{pair[0].index, pair[1].index}] && (a.needsLink(b) || b.needsLink(a)) {
			pair[0].connect(pair[1])
		}
	}
}
