package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testVM is an entry VM with a Quarantiner, a clock of its own and the effects so
// far.
type testVM struct {
	q          *Quarantiner
	now        time.Time
	allowed    map[identifier.BackendID]identifier.Slots
	broadcasts []peermessenger.Message
}

func newTestVM(seed uint64) *testVM {
	return &testVM{
		q:       New(Options{Rand: rand.New(rand.NewPCG(seed, 1))}),
		now:     epoch,
		allowed: make(map[identifier.BackendID]identifier.Slots),
	}
}

func (vm *testVM) step(e Event) {
	for _, effect := range vm.q.Step(vm.now, e) {
		switch effect := effect.(type) {
		case LimitTasks:
			vm.allowed[effect.Backend] = effect.Tasks
		case Broadcast:
			vm.broadcasts = append(vm.broadcasts, effect.Message)
		}
	}
}

func (vm *testVM) fail(backend identifier.BackendID, job identifier.SubmissionID) {
	vm.step(TaskFailed{Backend: backend, Submission: job})
}

func (vm *testVM) advance(d time.Duration) {
	vm.now = vm.now.Add(d)
	vm.step(Tick{})
}

// allowance returns how many tasks may run at once on a backend server.
func (vm *testVM) allowance(id identifier.BackendID) identifier.Slots {
	n, ok := vm.allowed[id]
	if !ok {
		return Unlimited
	}
	return n
}

func TestQuarantine(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(vm *testVM)
		want identifier.Slots // of the backend server "a"
	}{
		{name: "no failure", do: func(*testVM) {}, want: Unlimited},
		{name: "one failure", do: func(vm *testVM) { vm.fail("a", "1") }, want: 0},
		{name: "another task succeeds", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.step(TaskSucceeded{Backend: "a"})
		}, want: Unlimited},
		{name: "a task started before the failed one succeeds", do: func(vm *testVM) {
			vm.now = vm.now.Add(time.Second)
			vm.fail("a", "1")
			vm.step(TaskSucceeded{Backend: "a", RunTime: 500 * time.Millisecond})
		}, want: 0},
		{name: "tasks started before the failed one succeed during probation", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.advance(2 * firstQuarantine)
			for range neededSuccesses {
				vm.step(TaskSucceeded{Backend: "a", RunTime: 3 * firstQuarantine})
			}
		}, want: 1},
		{name: "first quarantine is over", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.advance(2 * firstQuarantine)
		}, want: 1},
		{name: "one job fails repeatedly", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.fail("a", "1")
			vm.advance(2 * firstQuarantine)
		}, want: 1},
		{name: "a second job fails", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.fail("a", "2")
			vm.step(TaskSucceeded{Backend: "a"})
			vm.advance(2 * firstQuarantine)
		}, want: 0},
		{name: "a probe fails", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.advance(2 * firstQuarantine)
			vm.fail("a", "2")
			vm.advance(7 * firstQuarantine)
		}, want: 0},
		{name: "probes succeed", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.advance(2 * firstQuarantine)
			for range neededSuccesses {
				vm.step(TaskSucceeded{Backend: "a"})
			}
		}, want: Unlimited},
		{name: "job that fails on two backend servers", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.fail("b", "1")
			vm.fail("a", "1")
		}, want: Unlimited},
		{name: "failures reported by a peer", do: func(vm *testVM) {
			vm.step(PeerMessage{Message: peermessenger.TasksFailed{Failures: []peermessenger.TaskFailure{
				{Backend: "a", Submission: "1"}, {Backend: "a", Submission: "2"},
			}}})
			vm.advance(2 * firstQuarantine)
		}, want: 0},
		{name: "unlisted and listed again", do: func(vm *testVM) {
			vm.fail("a", "1")
			vm.step(RacksChanged{Racks: map[identifier.BackendID]identifier.RackID{"b": "r"}})
			vm.step(RacksChanged{Racks: map[identifier.BackendID]identifier.RackID{"a": "r"}})
			vm.fail("a", "2")
			vm.advance(2 * firstQuarantine)
		}, want: 1},
		{name: "the rest of its rack is lost", do: func(vm *testVM) {
			vm.step(RacksChanged{Racks: map[identifier.BackendID]identifier.RackID{"a": "r", "b": "r", "c": "r", "d": "r"}})
			for _, id := range []identifier.BackendID{"b", "c", "d"} {
				vm.step(BackendUnreachable{Backend: id})
			}
		}, want: 1},
		{name: "another rack is lost", do: func(vm *testVM) {
			vm.step(RacksChanged{Racks: map[identifier.BackendID]identifier.RackID{"a": "r", "b": "s", "c": "s", "d": "s"}})
			for _, id := range []identifier.BackendID{"b", "c", "d"} {
				vm.step(BackendUnreachable{Backend: id})
			}
		}, want: Unlimited},
		{name: "lost servers are spread over two racks", do: func(vm *testVM) {
			vm.step(RacksChanged{Racks: map[identifier.BackendID]identifier.RackID{"a": "r", "b": "r", "c": "s", "d": "s"}})
			for _, id := range []identifier.BackendID{"b", "c", "d"} {
				vm.step(BackendUnreachable{Backend: id})
			}
		}, want: Unlimited},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vm := newTestVM(1)
			tc.do(vm)
			if got := vm.allowance("a"); got != tc.want {
				t.Errorf("allowance %d, want %d", got, tc.want)
			}
		})
	}
}

// TestBlackHoleCostsFewJobs checks that a backend server that fails every task costs
// few jobs, since VMs that quarantine it without sharing what they see would each lose
// jobs to it. Up to seven VMs place one job a second; in an hour at most 12 jobs may
// fail. After another hour, in which the server works, every VM must have released it.
func TestBlackHoleCostsFewJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 2))
		vms := make([]*testVM, rapid.IntRange(1, 7).Draw(t, "vms"))
		for i := range vms {
			vms[i] = newTestVM(r.Uint64())
		}
		failed := 0
		runSecond := func(i int, broken bool) {
			for _, vm := range vms {
				vm.advance(time.Second)
			}
			vm := vms[i%len(vms)]
			if vm.allowance("hole") == 0 {
				return
			}
			if broken {
				failed++
				vm.fail("hole", identifier.SubmissionID(fmt.Sprint("job", i)))
				return
			}
			vm.step(TaskSucceeded{Backend: "hole"})
		}
		for i := range 3600 {
			runSecond(i, true)
			deliver(vms)
		}
		if failed > 12 {
			t.Fatalf("%d jobs failed within an hour on %d VMs, want at most 12", failed, len(vms))
		}
		for i := range 3600 {
			runSecond(i, false)
			deliver(vms)
		}
		for _, vm := range vms {
			if vm.allowance("hole") != Unlimited {
				t.Fatal("the repaired backend server is still quarantined or on probation")
			}
		}
	})
}

// deliver passes the broadcasts of each VM to all the others.
func deliver(vms []*testVM) {
	for _, from := range vms {
		for _, m := range from.broadcasts {
			for _, to := range vms {
				if to != from {
					to.step(PeerMessage{Message: m})
				}
			}
		}
		from.broadcasts = nil
	}
}

// TestQuarantinerBounds checks that the tables stay within their bounds under many
// failures, and that every backend server is released once its probes succeed.
func TestQuarantinerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vm := newTestVM(1)
		r := rand.New(rand.NewPCG(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 2))
		backends := 2 * maxSuspects
		for range 20_000 {
			vm.fail(identifier.BackendID(fmt.Sprint(r.IntN(backends))), identifier.SubmissionID(fmt.Sprint(r.IntN(2*maxFailedJobs))))
			if len(vm.q.suspects) > maxSuspects || len(vm.q.jobs) > maxFailedJobs || len(vm.q.pending) > maxPendingFailures {
				t.Fatalf("%d suspects, %d failed jobs, %d pending failures", len(vm.q.suspects), len(vm.q.jobs), len(vm.q.pending))
			}
		}
		for range neededSuccesses {
			vm.advance(2 * maxQuarantine)
			for i := range backends {
				vm.step(TaskSucceeded{Backend: identifier.BackendID(fmt.Sprint(i))})
			}
		}
		if n := vm.q.SuspectCount(); n > 0 || len(vm.q.jobs) > 0 {
			t.Fatalf("%d backend servers are still suspected, %d failed jobs still remembered", n, len(vm.q.jobs))
		}
	})
}

// TestJobThatCrashesServersCostsNoRack guards against the healthy servers of a rack being
// put on probation because the tasks of one job crashed some others of the rack.
func TestJobThatCrashesServersCostsNoRack(t *testing.T) {
	racks := map[identifier.BackendID]identifier.RackID{"a": "r", "b": "r", "c": "r", "d": "r", "e": "r", "f": "r"}
	lost := func(backend identifier.BackendID, job identifier.SubmissionID) Event {
		return BackendUnreachable{Backend: backend, Submission: job}
	}
	for _, test := range []struct {
		name      string
		events    []Event
		probation bool
	}{
		{"three servers under one job", []Event{lost("a", "1"), lost("b", "1"), lost("c", "1")}, false},
		{"and connecting to them fails", []Event{lost("a", "1"), lost("b", "1"), lost("c", "1"), lost("a", ""), lost("b", ""), lost("c", "")}, false},
		{"under three jobs", []Event{lost("a", "1"), lost("b", "2"), lost("c", "3")}, true},
		{"connecting to three fails", []Event{lost("a", ""), lost("b", ""), lost("c", "")}, true},
		{"one job's and two others", []Event{lost("a", "1"), lost("b", "1"), lost("c", ""), lost("d", "")}, true},
	} {
		vm := newTestVM(1)
		vm.step(RacksChanged{Racks: racks})
		for _, e := range test.events {
			vm.step(e)
		}
		if got := vm.allowance("f") != Unlimited; got != test.probation {
			t.Errorf("%s: the rest of the rack is on probation: %v", test.name, got)
		}
	}
}
