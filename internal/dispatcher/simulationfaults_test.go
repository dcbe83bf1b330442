package dispatcher

import (
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// kill ends a VM and boots a later incarnation in its place.
func (s *simulation) kill(vm *simVM) {
	s.faults["kill"]++
	for key := range s.openRequests {
		if key.member == vm.member {
			delete(s.openRequests, key) // the connection broke; the client may ask again
		}
	}
	for _, name := range s.vmIDs() {
		if other := s.vms[name]; other != vm {
			s.deliverEvent(other, PeerDown{Member: vm.member})
		}
	}
	next := s.boot(vm.member.VM, vm.domain, vm.member.Incarnation+1)
	s.updateRoster(vm.domain)
	s.connect(next)
	for _, name := range s.vmIDs() {
		if other := s.vms[name]; other != next {
			s.deliverEvent(other, MemberTerminated{Member: vm.member})
		}
	}
}

// updateRoster starts an epoch whose members are the domain's present processes.
func (s *simulation) updateRoster(domain identifier.FailureDomain) {
	var members []enroller.RosterMember
	for _, name := range s.vmIDs() {
		if vm := s.vms[name]; vm.domain == domain {
			members = append(members, enroller.RosterMember{Member: vm.member, Address: "x"})
		}
	}
	next, ok := s.rosters[domain].Next(s.now, members, false)
	if !ok {
		s.t.Fatalf("the roster has no room for the members of the failure domain")
	}
	s.rosters[domain] = next
	for _, name := range s.vmIDs() {
		if vm := s.vms[name]; vm.domain == domain {
			s.deliverEvent(vm, RosterAdopted{Roster: next})
		}
	}
}

func (s *simulation) setCut(a, b *simVM, cut bool) {
	pair := pairOf(a, b)
	if s.cut[pair] == cut {
		return
	}
	s.cut[pair] = cut
	if cut {
		s.faults["cut"]++
		delete(s.links, [2]identifier.Member{a.member, b.member})
		delete(s.links, [2]identifier.Member{b.member, a.member})
		s.deliverEvent(a, PeerDown{Member: b.member})
		s.deliverEvent(b, PeerDown{Member: a.member})
		return
	}
	s.deliverEvent(a, PeerUp{Member: b.member, Domain: b.domain})
	s.deliverEvent(b, PeerUp{Member: a.member, Domain: a.domain})
}

func (s *simulation) pause(vm *simVM) {
	s.faults["pause"]++
	vm.paused = true
}

func (s *simulation) resume(vm *simVM) {
	inbox := vm.inbox
	vm.paused, vm.inbox = false, nil
	for _, e := range inbox {
		s.deliverEvent(vm, e)
	}
}

// settle ends all faults and checks that every request is then answered.
func (s *simulation) settle() {
	s.faults["calm"]++
	for _, name := range s.vmIDs() {
		s.resume(s.vms[name])
	}
	for pair, cut := range s.cut {
		if cut {
			s.setCut(s.vms[pair[0]], s.vms[pair[1]], false)
		}
	}
	for until := s.now.Add(settleTime); s.now.Before(until) && len(s.openRequests) > 0; {
		s.advance(settleTick)
	}
	for key, id := range s.openRequests {
		s.t.Fatalf("request %v for submission %s has no answer; %s", key, id, s.describe(id))
	}
}
