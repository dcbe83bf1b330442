package dispatcher

import (
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// kill ends a VM, and boots a later incarnation in its place.
func (w *world) kill(vm *worldVM) {
	w.faults["kill"]++
	for key := range w.asked {
		if key.member == vm.member {
			delete(w.asked, key) // the connection broke; the client may ask again
		}
	}
	for _, name := range w.names() {
		if other := w.vms[name]; other != vm {
			w.give(other, PeerDown{Member: vm.member})
		}
	}
	next := w.boot(vm.member.VM, vm.domain, vm.member.Incarnation+1)
	w.changeRoster(vm.domain)
	w.join(next)
	for _, name := range w.names() {
		if other := w.vms[name]; other != next {
			w.give(other, MemberGone{Member: vm.member})
		}
	}
}

// changeRoster makes the epoch in which the domain's present processes are members.
func (w *world) changeRoster(domain identifier.FailureDomain) {
	var members []enroller.RosterMember
	for _, name := range w.names() {
		if vm := w.vms[name]; vm.domain == domain {
			members = append(members, enroller.RosterMember{Member: vm.member, Address: "x"})
		}
	}
	next, ok := w.rosters[domain].Next(w.now, members, false)
	if !ok {
		w.t.Fatalf("no room in the roster")
	}
	w.rosters[domain] = next
	for _, name := range w.names() {
		if vm := w.vms[name]; vm.domain == domain {
			w.give(vm, RosterAdopted{Roster: next})
		}
	}
}

func (w *world) setCut(a, b *worldVM, cut bool) {
	pair := pairOf(a, b)
	if w.cut[pair] == cut {
		return
	}
	w.cut[pair] = cut
	if cut {
		w.faults["cut"]++
		delete(w.links, [2]identifier.Member{a.member, b.member})
		delete(w.links, [2]identifier.Member{b.member, a.member})
		w.give(a, PeerDown{Member: b.member})
		w.give(b, PeerDown{Member: a.member})
		return
	}
	w.give(a, PeerUp{Member: b.member, Domain: b.domain})
	w.give(b, PeerUp{Member: a.member, Domain: a.domain})
}

func (w *world) pause(vm *worldVM) {
	w.faults["pause"]++
	vm.paused = true
}

func (w *world) resume(vm *worldVM) {
	inbox := vm.inbox
	vm.paused, vm.inbox = false, nil
	for _, e := range inbox {
		w.give(vm, e)
	}
}

// settle ends all faults and holds that every request is answered.
func (w *world) settle() {
	w.faults["calm"]++
	for _, name := range w.names() {
		w.resume(w.vms[name])
	}
	for pair, cut := range w.cut {
		if cut {
			w.setCut(w.vms[pair[0]], w.vms[pair[1]], false)
		}
	}
	for until := w.now.Add(settleTime); w.now.Before(until) && len(w.asked) > 0; {
		w.advance(settleTick)
	}
	for key, id := range w.asked {
		w.t.Fatalf("request %v for submission %s has no answer; %s", key, id, w.describe(id))
	}
}
