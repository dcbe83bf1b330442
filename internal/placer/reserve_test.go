package placer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// drawFleet starts a fleet under a drawn load.
func drawFleet(t *rapid.T) *fleet {
	f := newFleet(rapid.Uint64Range(1, 1000).Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "vms"), rapid.IntRange(3, 12).Draw(t, "backends"))
	f.run(time.Second)
	weighing := rapid.SampledFrom([]Weighing{WeighResponse, WeighMessages}).Draw(t, "weighing")
	load := float64(rapid.IntRange(10, 150).Draw(t, "load")) / 100
	f.offer(2*time.Second, load, 40, Reserve{}, weighing)
	return f
}

// checkSettled fails when a job has not ended, or when an owner still counts
// slots as used after all jobs have ended.
func checkSettled(t *rapid.T, f *fleet) {
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
		if free := vm.placer.ownedFree; free != slots {
			t.Fatalf("%v counts %d of its %d slots as free", vm.member.Member, free, slots)
		}
	}
}

// TestReserveIsExact checks that as long as no message is lost no start is ever
// refused, that owners never lend more than they have, and that no task starves.
func TestReserveIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.longTask = time.Duration(rapid.IntRange(0, 5).Draw(t, "longSeconds")) * time.Second
		f.repeat = float64(rapid.IntRange(0, 30).Draw(t, "repeat")) / 100
		f.jitter = time.Duration(rapid.IntRange(0, 20).Draw(t, "jitterMillis")) * time.Millisecond
		for range 30 {
			f.run(100 * time.Millisecond)
			for _, vm := range f.vms {
				checkLoans(t, vm)
			}
		}
		f.settle()
		if f.refused > 0 {
			t.Fatalf("%d of %d starts were refused", f.refused, f.starts)
		}
		checkSettled(t, f)
	})
}

func checkLoans(t *rapid.T, vm *fleetVM) {
	for _, b := range vm.placer.self.backends {
		if b.running+b.lent > b.Slots || b.lent < 0 {
			t.Fatalf("%v: %s runs %d tasks and lends %d slots", vm.member.Member, b.ID, b.running, b.lent)
		}
	}
}

// TestReserveSurvivesLoss checks that lost, repeated and reordered messages
// starve no task and leave no slot counted as used.
func TestReserveSurvivesLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.loss = float64(rapid.IntRange(0, 50).Draw(t, "loss")) / 100
		f.repeat = float64(rapid.IntRange(0, 30).Draw(t, "repeat")) / 100
		f.jitter = time.Duration(rapid.IntRange(0, 20).Draw(t, "jitterMillis")) * time.Millisecond
		f.run(3 * time.Second)
		f.loss = 0
		f.settle()
		checkSettled(t, f)
	})
}

// TestReserveSurvivesReplacement replaces a VM under load: the others notice
// that it can't be reached, and later get a list with its successor.
func TestReserveSurvivesReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "dieAtMillis")) * time.Millisecond)
		gone := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
		gone.dead = true
		f.run(100 * time.Millisecond)
		for _, vm := range f.vms {
			vm.step(PeerLost{Member: gone.member.Member})
		}
		f.run(500 * time.Millisecond)
		f.replace(gone)
		f.settle()
		checkSettled(t, f)
	})
}

// TestReserveSurvivesJoining adds a VM under load, which takes over slots that
// are lent and in use. No start may be refused when all VMs hear of it at the
// same time. Else two VMs may lend the same slot, which costs a refusal.
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
			f.after(time.Duration(spread*i*15)*time.Millisecond, func() {
				vm.placer.SetMembers(f.now, f.members)
			})
		}
		f.settle()
		if spread == 0 && f.refused > 0 {
			t.Fatalf("%d of %d starts were refused", f.refused, f.starts)
		}
		checkSettled(t, f)
	})
}

// TestReserveSharesBetweenVMs floods one VM, which borrows all slots, and checks
// that a job at another VM is served before the flood has ended.
func TestReserveSharesBetweenVMs(t *testing.T) {
	for _, weighing := range []Weighing{WeighResponse, WeighMessages} {
		f := newFleet(1, 3, 6)
		f.run(time.Second)
		f.vms[0].submit("flood", slices.Repeat([]time.Duration{100 * time.Millisecond}, 5000), Reserve{}, weighing)
		f.run(2 * time.Second)
		f.vms[1].submit("small", slices.Repeat([]time.Duration{100 * time.Millisecond}, 16), Reserve{}, weighing)
		for len(f.vms[1].jobs) > 0 {
			f.run(10 * time.Millisecond)
		}
		if len(f.vms[0].jobs) == 0 {
			t.Errorf("%s: the small job waited until the flood had ended", weighing)
		}
	}
}

// TestReserveKeepsLongLoans fills all slots from one VM with tasks that outlast
// the time for which a report counts.
func TestReserveKeepsLongLoans(t *testing.T) {
	f := newFleet(1, 2, 4)
	f.run(time.Second)
	f.vms[0].submit("long", slices.Repeat([]time.Duration{4 * reportTimeout}, 32), Reserve{}, WeighResponse)
	f.run(3 * reportTimeout)
	for _, vm := range f.vms {
		if n := vm.placer.ownedFree; n != 0 {
			t.Errorf("%v counts %d slots as free that are in use", vm.member.Member, n)
		}
	}
}

func TestOwnerIgnoresStaleMessages(t *testing.T) {
	f := newFleet(1, 2, 4)
	owner, peer := f.vms[0].placer, f.vms[1].member.Member
	b := owner.self.backends[0]
	report := func(sequence uint64, slots identifier.Slots) {
		owner.Step(f.now, PeerReceived{From: peer, Message: peermessenger.SlotAsk{
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

// TestNewsOfLeavingSpread checks that what one VM hears of a leaving backend
// server closes it on all VMs, of all failure domains.
func TestNewsOfLeavingSpread(t *testing.T) {
	f := newFleet(1, 7, 9)
	f.run(time.Second)
	f.vms[0].step(StartRefused{Backend: "b000", Reason: Leaving})
	f.run(time.Second)
	for _, vm := range f.vms {
		if b := vm.placer.backends["b000"]; b.open(f.now) {
			t.Errorf("%v still gives it work", vm.member.Member)
		}
	}
}

// TestFallbackWithoutOwner checks that the slots of an owner that can't be
// reached are used all the same.
func TestFallbackWithoutOwner(t *testing.T) {
	f := newFleet(1, 2, 4)
	f.run(time.Second)
	p := f.vms[0].placer
	owned := len(p.Place(f.now, testWants(0, 32, Reserve{})))
	p.Step(f.now, PeerLost{Member: f.vms[1].member.Member})
	if n := owned + len(p.Place(f.now, testWants(32, 32-owned, Reserve{}))); owned == 32 || n < 32 {
		t.Errorf("%d tasks are placed on own slots, %d on all of 32", owned, n)
	}
}

// TestIdleSlotsGoBack checks that borrowed slots are soon free again at their
// owners when no task needs them.
func TestIdleSlotsGoBack(t *testing.T) {
	for weighing, pace := range map[Weighing]pace{WeighResponse: responsePace, WeighMessages: messagesPace} {
		f := newFleet(1, 2, 4)
		f.run(time.Second)
		f.vms[0].submit("job", slices.Repeat([]time.Duration{100 * time.Millisecond}, 32), Reserve{}, weighing)
		f.run(100*time.Millisecond + pace.idle + pace.returnDelay + 10*testTick)
		if n := f.vms[1].placer.ownedFree; len(f.vms[0].jobs) > 0 || n != 8*identifier.Slots(len(f.vms[1].placer.self.backends)) {
			t.Errorf("%s: %d jobs run, the owner counts %d slots as free", weighing, len(f.vms[0].jobs), n)
		}
	}
}

// TestNewOwnerWaitsForReports checks that a VM lends and uses the slots that it
// has come to own only when the others have had the time to report theirs.
func TestNewOwnerWaitsForReports(t *testing.T) {
	p := newFleet(1, 2, 4).vms[0].placer
	if n := p.ownedFree; n != 0 {
		t.Errorf("%d slots count as free at once", n)
	}
	p.Step(epoch.Add(settleTime), Tick{})
	if n := p.ownedFree; n != 8*identifier.Slots(len(p.self.backends)) {
		t.Errorf("%d slots count as free when the time is over", n)
	}
}

// TestUnusedGrantExpires checks that a granted slot that fits no waiting task
// goes back, though tasks wait.
func TestUnusedGrantExpires(t *testing.T) {
	f := newFleet(1, 2, 4)
	p, owner := f.vms[0].placer, f.vms[1]
	b := p.backends[owner.placer.self.backends[0].ID]
	large := testWants(0, 1, Reserve{})
	large[0].Millicores = b.Millicores + 1
	p.Place(f.now, large)
	p.Step(f.now, PeerReceived{From: owner.member.Member, Message: peermessenger.SlotGrant{
		Sequence: 1,
		Slots:    []peermessenger.SlotCount{{Backend: b.ID, Slots: 1}},
	}})
	if b.held != 1 {
		t.Fatalf("%d slots are held after the grant", b.held)
	}
	p.Step(f.now.Add(responsePace.hold), Tick{})
	if b.held != 0 {
		t.Errorf("%d slots are held after the grant has expired", b.held)
	}
}
