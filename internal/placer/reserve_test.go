package placer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// drawFleet starts a fleet of random size under random load.
func drawFleet(t *rapid.T) *fleet {
	f := newFleet(rapid.Uint64Range(1, 1000).Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "vms"), rapid.IntRange(3, 12).Draw(t, "backends"))
	f.run(time.Second)
	goal := rapid.SampledFrom([]Goal{MinimizeLatency, MinimizeMessages}).Draw(t, "weighing")
	load := float64(rapid.IntRange(10, 150).Draw(t, "load")) / 100
	f.offerLoad(2*time.Second, load, 40, Reserve{}, goal)
	return f
}

// checkAllReturned fails when a job has not ended, or when an owner still counts
// slots as used after all jobs have ended.
func checkAllReturned(t *rapid.T, f *fleet) {
	for _, vm := range f.vms {
		if vm.dead {
			continue
		}
		if len(vm.jobs) > 0 || len(vm.waiting) > 0 {
			t.Fatalf("%v: %d jobs have not ended, %d tasks wait", vm.member.Member, len(vm.jobs), len(vm.waiting))
		}
		var slots identifier.Slots
		for _, b := range vm.placer.self.backends {
			slots += b.Slots
		}
		if free := vm.placer.ownedFreeSlots; free != slots {
			t.Fatalf("%v counts %d of its %d slots as free after all jobs have ended", vm.member.Member, free, slots)
		}
	}
}

// TestReserveIsExact checks that, as long as no message is lost, no start
// is refused, no owner lends more slots than it has, and no task starves.
func TestReserveIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.longTask = time.Duration(rapid.IntRange(0, 5).Draw(t, "longSeconds")) * time.Second
		f.repeatRate = float64(rapid.IntRange(0, 30).Draw(t, "repeat")) / 100
		f.jitter = time.Duration(rapid.IntRange(0, 20).Draw(t, "jitterMillis")) * time.Millisecond
		for range 30 {
			f.run(100 * time.Millisecond)
			for _, vm := range f.vms {
				checkLentSlots(t, vm)
			}
		}
		f.settle()
		if f.refused > 0 {
			t.Fatalf("%d of %d starts were refused", f.refused, f.starts)
		}
		checkAllReturned(t, f)
	})
}

func checkLentSlots(t *rapid.T, vm *fleetVM) {
	for _, b := range vm.placer.self.backends {
		if b.running+b.lent > b.Slots || b.lent < 0 {
			t.Fatalf("%v: on %s, %d tasks run and %d slots are lent: more than it has, or a negative number", vm.member.Member, b.ID, b.running, b.lent)
		}
	}
}

// TestReserveSurvivesLoss checks that lost, repeated and reordered messages
// starve no task and leave no slot counted as used.
func TestReserveSurvivesLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.lossRate = float64(rapid.IntRange(0, 50).Draw(t, "loss")) / 100
		f.repeatRate = float64(rapid.IntRange(0, 30).Draw(t, "repeat")) / 100
		f.jitter = time.Duration(rapid.IntRange(0, 20).Draw(t, "jitterMillis")) * time.Millisecond
		f.run(3 * time.Second)
		f.lossRate = 0
		f.settle()
		checkAllReturned(t, f)
	})
}

// TestReserveSurvivesReplacement replaces a VM under load: the others notice
// that it can't be reached, and later get a list with its next incarnation. No
// task may starve, and no slot may stay counted as used.
func TestReserveSurvivesReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "dieAtMillis")) * time.Millisecond)
		killed := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
		killed.dead = true
		f.run(100 * time.Millisecond)
		for _, vm := range f.vms {
			vm.step(PeerUnreachable{Member: killed.member.Member})
		}
		f.run(500 * time.Millisecond)
		f.replace(killed)
		f.settle()
		checkAllReturned(t, f)
	})
}

// TestReserveSurvivesJoining adds a VM under load, which becomes the owner of
// slots that are lent and in use. No start may be refused when all VMs get the
// new list at the same time. Otherwise two VMs may lend the same slot, so that
// one start is refused.
func TestReserveSurvivesJoining(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.longTask = time.Duration(rapid.IntRange(0, 3).Draw(t, "longSeconds")) * time.Second
		f.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "joinAtMillis")) * time.Millisecond)
		joined := DomainMember{Member: identifier.Member{VM: "joined", Incarnation: 1}, Domain: "d0"}
		f.members = append(f.members, joined)
		f.addVM(joined)
		spread := rapid.IntRange(0, 1).Draw(t, "spread")
		for i, vm := range f.vms {
			f.schedule(time.Duration(spread*i*15)*time.Millisecond, func() {
				vm.placer.SetMembers(f.now, f.members)
			})
		}
		f.settle()
		if spread == 0 && f.refused > 0 {
			t.Fatalf("%d of %d starts were refused", f.refused, f.starts)
		}
		checkAllReturned(t, f)
	})
}

// TestReserveSharesBetweenVMs submits a large job to one VM, which borrows all
// slots, and checks that a small job on another VM ends before the large one.
func TestReserveSharesBetweenVMs(t *testing.T) {
	for _, goal := range []Goal{MinimizeLatency, MinimizeMessages} {
		f := newFleet(1, 3, 6)
		f.run(time.Second)
		f.vms[0].submit("flood", slices.Repeat([]time.Duration{100 * time.Millisecond}, 5000), Reserve{}, goal)
		f.run(2 * time.Second)
		f.vms[1].submit("small", slices.Repeat([]time.Duration{100 * time.Millisecond}, 16), Reserve{}, goal)
		for len(f.vms[1].jobs) > 0 {
			f.run(10 * time.Millisecond)
		}
		if len(f.vms[0].jobs) == 0 {
			t.Errorf("%s: the small job waited until the large one had ended", goal)
		}
	}
}

// TestReserveKeepsLongLoans fills all slots from one VM with tasks that run
// longer than reportTimeout. The slots must stay counted as used.
func TestReserveKeepsLongLoans(t *testing.T) {
	f := newFleet(1, 2, 4)
	f.run(time.Second)
	f.vms[0].submit("long", slices.Repeat([]time.Duration{4 * reportTimeout}, 32), Reserve{}, MinimizeLatency)
	f.run(3 * reportTimeout)
	for _, vm := range f.vms {
		if n := vm.placer.ownedFreeSlots; n != 0 {
			t.Errorf("%v counts %d slots as free, but all are in use", vm.member.Member, n)
		}
	}
}

func TestOwnerIgnoresStaleMessages(t *testing.T) {
	f := newFleet(1, 2, 4)
	owner, peer := f.vms[0].placer, f.vms[1].member.Member
	b := owner.self.backends[0]
	report := func(sequence uint64, slots identifier.Slots) {
		owner.Step(f.now, PeerMessage{From: peer, Message: peermessenger.SlotRequest{
			Sequence: sequence,
			Held:     []peermessenger.SlotCount{{Backend: b.ID, Slots: slots}},
		}})
	}
	for _, step := range []struct {
		sequence uint64
		slots    identifier.Slots
		want     identifier.Slots
	}{
		{sequence: 2, slots: 5, want: 5},
		{sequence: 1, slots: 1, want: 5},
		{sequence: 2, slots: 1, want: 5},
		{sequence: 3, slots: 2, want: 2},
	} {
		if report(step.sequence, step.slots); b.lent != step.want {
			t.Errorf("after report %d of %d slots, %d are lent, want %d", step.sequence, step.slots, b.lent, step.want)
		}
	}
}

// TestLeavingBackendClosesOnAllVMs checks that no VM of any failure domain gives
// work to a backend server after one VM has learned that it is leaving.
func TestLeavingBackendClosesOnAllVMs(t *testing.T) {
	f := newFleet(1, 7, 9)
	f.run(time.Second)
	f.vms[0].step(StartRefused{Backend: "b000", Reason: Leaving})
	f.run(time.Second)
	for _, vm := range f.vms {
		if b := vm.placer.backends["b000"]; b.acceptsWork(f.now) {
			t.Errorf("%v still gives work to b000", vm.member.Member)
		}
	}
}

// TestFallbackWithoutOwner checks that tasks are also placed on the slots of an
// owner that can't be reached.
func TestFallbackWithoutOwner(t *testing.T) {
	f := newFleet(1, 2, 4)
	f.run(time.Second)
	p := f.vms[0].placer
	owned := len(p.Place(f.now, testTasks(0, 32, Reserve{})))
	p.Step(f.now, PeerUnreachable{Member: f.vms[1].member.Member})
	if n := owned + len(p.Place(f.now, testTasks(32, 32-owned, Reserve{}))); owned == 32 || n < 32 {
		t.Errorf("%d tasks were placed on own slots and %d in all, want fewer than 32 and 32", owned, n)
	}
}

// TestIdleSlotsReturnToOwner checks that borrowed slots that no task needs are
// free again at their owners soon after idleTime.
func TestIdleSlotsReturnToOwner(t *testing.T) {
	for goal, params := range map[Goal]borrowParams{MinimizeLatency: minLatencyParams, MinimizeMessages: minMessagesParams} {
		f := newFleet(1, 2, 4)
		f.run(time.Second)
		f.vms[0].submit("job", slices.Repeat([]time.Duration{100 * time.Millisecond}, 32), Reserve{}, goal)
		f.run(100*time.Millisecond + params.idleTime + params.returnDelay + 10*testTick)
		if n := f.vms[1].placer.ownedFreeSlots; len(f.vms[0].jobs) > 0 || n != 8*identifier.Slots(len(f.vms[1].placer.self.backends)) {
			t.Errorf("%s: %d jobs run and the owner counts %d slots as free, want 0 and all of its slots", goal, len(f.vms[0].jobs), n)
		}
	}
}

// TestNewOwnerWaitsForReports checks that a new owner uses and lends its slots
// only after newOwnerDelay, when the other VMs have reported the slots they hold.
func TestNewOwnerWaitsForReports(t *testing.T) {
	p := newFleet(1, 2, 4).vms[0].placer
	if n := p.ownedFreeSlots; n != 0 {
		t.Errorf("%d slots count as free before newOwnerDelay has passed, want 0", n)
	}
	p.Step(epoch.Add(newOwnerDelay), Tick{})
	if n := p.ownedFreeSlots; n != 8*identifier.Slots(len(p.self.backends)) {
		t.Errorf("%d slots count as free after newOwnerDelay, want all that the VM owns", n)
	}
}

// TestUnusedGrantExpires checks that a granted slot that fits no waiting task is
// returned, even though a task waits.
func TestUnusedGrantExpires(t *testing.T) {
	f := newFleet(1, 2, 4)
	p, owner := f.vms[0].placer, f.vms[1]
	b := p.backends[owner.placer.self.backends[0].ID]
	large := testTasks(0, 1, Reserve{})
	large[0].Millicores = b.Millicores + 1
	p.Place(f.now, large)
	p.Step(f.now, PeerMessage{From: owner.member.Member, Message: peermessenger.SlotGrant{
		Sequence: 1,
		Slots:    []peermessenger.SlotCount{{Backend: b.ID, Slots: 1}},
	}})
	if b.held != 1 {
		t.Fatalf("%d slots are held after the grant, want 1", b.held)
	}
	p.Step(f.now.Add(minLatencyParams.reuseTime), Tick{})
	if b.held != 0 {
		t.Errorf("%d slots are held after the grant has expired, want 0", b.held)
	}
}
