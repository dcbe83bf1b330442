package repeater

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// fleetVM is one VM of a large fleet. The VMs that it needs links to only report to it.
type fleetVM struct {
	machine *Machine
	now     time.Time
	peers   []*fleetPeer
	sent    int // load reports
	keeps   KeepLinks
}

// fleetPeer is a VM that reports to the fleetVM at the interval that the two have.
type fleetPeer struct {
	member     identifier.Member
	domain     identifier.FailureDomain
	reportedAt time.Time
	sequence   uint64
	silent     bool
}

const (
	fleetDomains      = 5
	fleetServersPerVM = 7
)

func fleetDomain(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("domain-%d", i%fleetDomains))
}

// newFleetVM returns the VM with an index in a fleet that has been up for a while.
func newFleetVM(index, vms int) *fleetVM {
	f := &fleetVM{now: time.UnixMilli(1_700_000_000_000)}
	f.machine = New(f.now, Options{Self: identifier.Member{VM: vmID(index), Incarnation: 1}, Domain: fleetDomain(index), Weight: 200})
	var servers []Server
	for i := range vms * fleetServersPerVM {
		servers = append(servers, Server{
			ID: identifier.BackendID(fmt.Sprintf("s-%d", i)), Pool: simPool, Domain: fleetDomain(i), Cores: simCores, Memory: 1 << 16,
		})
	}
	f.step(ServersChanged{Revision: 1, Servers: servers})
	var listed []ListedVM
	for i := range vms {
		listed = append(listed, ListedVM{ID: vmID(i), Domain: fleetDomain(i), Weight: 200})
	}
	f.step(VMsListed{VMs: listed})
	for i := range vms {
		if i == index || !f.keeps.All && !slices.Contains(f.keeps.VMs, vmID(i)) {
			continue
		}
		p := &fleetPeer{member: identifier.Member{VM: vmID(i), Incarnation: 1}, domain: fleetDomain(i)}
		f.peers = append(f.peers, p)
		f.step(PeerLinked{Peer: p.member, Domain: p.domain})
		f.report(p)
	}
	for _, p := range f.peers {
		f.report(p) // the intervals depend on the size of the fleet
	}
	f.run(3 * time.Second)
	return f
}

func (f *fleetVM) step(e Event) {
	for _, effect := range f.machine.Step(f.now, e) {
		switch effect := effect.(type) {
		case Broadcast:
			f.sent += len(effect.To)
		case KeepLinks:
			f.keeps = effect
		case Poll:
			f.step(PollAnswered{Call: effect.Call, Result: PollResult{Status: PollOK}, Clock: ServerClock{Known: true, Now: ServerTime(time.Hour), Generation: 1}})
		}
	}
}

func (f *fleetVM) report(p *fleetPeer) {
	p.sequence++
	p.reportedAt = f.now
	f.step(PeerMessage{From: p.member, Domain: p.domain, Message: peermessenger.LoadReport{
		Sequence: p.sequence, Weight: 200, Next: f.interval(p),
	}})
}

func (f *fleetVM) interval(p *fleetPeer) time.Duration {
	return f.machine.reportIntervalTo(f.machine.peers[p.member.VM])
}

func (f *fleetVM) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(simTick)
		for _, p := range f.peers {
			if !p.silent && f.now.Sub(p.reportedAt) >= f.interval(p) {
				f.report(p)
			}
		}
		f.step(Ticked{})
	}
}

// typicalFleetVM returns a VM that has a neighborhood and contacts of given sizes.
func typicalFleetVM(t *testing.T, vms, wantNeighbors, wantContacts int) *fleetVM {
	t.Helper()
	for index := range vms {
		near, contact := 0, 0
		for i := range vms {
			if i != index && neighbors(vmID(index), vmID(i), fleetDomain(index), fleetDomain(i), vms, vms/fleetDomains, defaultNeighborhood) {
				near++
			}
		}
		for i := range vms {
			isNear := neighbors(vmID(index), vmID(i), fleetDomain(index), fleetDomain(i), vms, vms/fleetDomains, defaultNeighborhood)
			if i != index && !isNear && contacts(vmID(index), vmID(i), vms-1-near, defaultFarContacts) {
				contact++
			}
		}
		if near == wantNeighbors && contact == wantContacts {
			return newFleetVM(index, vms)
		}
	}
	t.Fatalf("no VM of %d has %d neighbors and %d contacts", vms, wantNeighbors, wantContacts)
	return nil
}

// TestSteadyWorkDoesNotGrowWithTheFleet guards against links, load reports, and owners that
// are computed, in proportion to the fleet.
func TestSteadyWorkDoesNotGrowWithTheFleet(t *testing.T) {
	const span, neighbors, contacts = 50 * time.Second, 13, 8
	type work struct {
		links                int
		reports, assignments float64
	}
	measured := make(map[int]work)
	for _, vms := range []int{150, 300, 1000} {
		f := typicalFleetVM(t, vms, neighbors, contacts)
		sent, computed := f.sent, f.machine.Counters().Assignments
		f.run(span)
		measured[vms] = work{len(f.keeps.VMs), float64(f.sent-sent) / span.Seconds(), float64(f.machine.Counters().Assignments - computed)}
		t.Logf("%d VMs: %+v a second", vms, measured[vms])
	}
	for _, vms := range []int{300, 1000} {
		if measured[vms].links != neighbors+contacts {
			t.Errorf("%d VMs: %d links are needed to %d neighbors and %d contacts", vms, measured[vms].links, neighbors, contacts)
		}
		if measured[vms].reports > 1.1*measured[150].reports {
			t.Errorf("%d VMs: %.1f reports a second; 150 VMs: %.1f", vms, measured[vms].reports, measured[150].reports)
		}
	}
	for vms, w := range measured {
		if w.assignments != 0 {
			t.Errorf("%d VMs: %.0f owners computed although nothing has changed", vms, w.assignments)
		}
	}
}

// TestLostVMCostsOthersWhatMoves guards against a computation of the owners of all
// servers by each VM when one VM is lost.
func TestLostVMCostsOthersWhatMoves(t *testing.T) {
	for _, vms := range []int{7, 45, 150, 300, 1000} {
		f := newFleetVM(0, vms)
		before := f.machine.Counters().Assignments
		neighborhood := uint64(f.machine.neighborCount+1) * fleetServersPerVM
		for _, near := range []bool{true, false} {
			i := slices.IndexFunc(f.peers, func(p *fleetPeer) bool { return f.machine.peers[p.member.VM].near == near })
			if i >= 0 {
				f.peers[i].silent = true
			}
		}
		f.run(time.Minute)
		if n := f.machine.Counters().Assignments - before; n > 3*neighborhood {
			t.Errorf("%d VMs: %d owners computed for two lost VMs; the neighborhood has about %d servers", vms, n, neighborhood)
		}
	}
}

// TestLostEntriesMoveNothing guards against links and servers that move because the store
// has lost the entries of VMs for a while.
func TestLostEntriesMoveNothing(t *testing.T) {
	const vms = 150
	f := newFleetVM(0, vms)
	links, before := f.keeps, f.machine.Counters()
	var listed []ListedVM
	for i := range vms {
		if vm := (ListedVM{ID: vmID(i), Domain: fleetDomain(i), Weight: 200}); i%2 == 0 {
			listed = append(listed, vm)
		}
	}
	f.step(VMsListed{VMs: listed})
	f.run(forgetPeerAfter / 2)
	if after := f.machine.Counters(); !slices.Equal(f.keeps.VMs, links.VMs) || after.Assignments != before.Assignments {
		t.Errorf("needed links before %v, after %v; %d owners computed", links.VMs, f.keeps.VMs, after.Assignments-before.Assignments)
	}
	for _, p := range f.peers {
		p.silent = !slices.ContainsFunc(listed, func(vm ListedVM) bool { return vm.ID == p.member.VM })
	}
	f.run(2 * forgetPeerAfter)
	for _, id := range f.keeps.VMs {
		if !slices.ContainsFunc(listed, func(vm ListedVM) bool { return vm.ID == id }) {
			t.Errorf("a link to %s is needed, which is gone", id)
		}
	}
}

// TestAssignments checks that VMs which know the same VMs assign each server to the
// same one, or leave it to another neighborhood, and that a server belongs to a VM of
// its failure domain if there is one.
func TestAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 60).Draw(t, "vms")
		domains := make([]identifier.FailureDomain, vms)
		occupied := make(map[identifier.FailureDomain]bool)
		for i := range domains {
			domains[i] = fleetDomain(rapid.IntRange(0, 2).Draw(t, "domain"))
			occupied[domains[i]] = true
		}
		var servers []Server
		for i := range 40 {
			servers = append(servers, Server{ID: identifier.BackendID(fmt.Sprintf("s-%d", i)), Domain: fleetDomain(i % 3)})
		}
		owners := make(map[identifier.BackendID]identifier.VMID)
		now := time.UnixMilli(1_700_000_000_000)
		for i := range vms {
			m := New(now, Options{Self: identifier.Member{VM: vmID(i), Incarnation: 1}, Domain: domains[i], Weight: 200 + 100*(i%3)})
			m.Step(now, ServersChanged{Revision: 1, Servers: servers})
			for k := range vms {
				if k == i {
					continue
				}
				peer := identifier.Member{VM: vmID(k), Incarnation: 1}
				m.Step(now, PeerLinked{Peer: peer, Domain: domains[k]})
				m.Step(now, PeerMessage{From: peer, Domain: domains[k], Message: peermessenger.LoadReport{Sequence: 1, Weight: 200 + 100*(k%3)}})
			}
			m.updateAssignments()
			for id, a := range m.assignments {
				if earlier, ok := owners[id]; ok && earlier != a.owner {
					t.Fatalf("%s belongs to %s for one VM and to %s for another", id, earlier, a.owner)
				}
				owners[id] = a.owner
			}
		}
		for _, s := range servers {
			owner, ok := owners[s.ID]
			if !ok || owner == "" {
				t.Fatalf("%s belongs to no VM", s.ID)
			}
			for i := range vms {
				if vmID(i) == owner && occupied[s.Domain] && domains[i] != s.Domain {
					t.Fatalf("%s in %s belongs to %s in %s", s.ID, s.Domain, owner, domains[i])
				}
			}
		}
	})
}

// TestNeighborTakesOver guards against servers of a silent VM that wait until a VM
// beyond the neighborhood notices its silence.
func TestNeighborTakesOver(t *testing.T) {
	const vms, pausedAt, bound = 48, 3 * time.Second, 700 * time.Millisecond
	for index := range 6 {
		sim := newSimulation(1, simConfig{vms: vms, servers: 144, neighborhood: 5})
		sim.run(pausedAt)
		paused := sim.vms[index]
		if paused.machine.neighborCount == 0 {
			continue
		}
		servers := paused.machine.ownedIDs()
		paused.pause(5 * time.Second)
		sim.run(pausedAt + bound)
		for _, id := range servers {
			owned := false
			for _, vm := range sim.vms {
				if o := vm.machine.owned[id]; vm != paused && o != nil && o.phase == phaseReady {
					owned = true
				}
			}
			if !owned {
				t.Errorf("%v after vm-%d was paused, %s has no owner", bound, index, id)
			}
		}
	}
}
