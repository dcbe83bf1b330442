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

// observer keeps the allowances that a Quarantiner gives.
type observer struct {
	q       *Quarantiner
	now     time.Time
	allowed map[identifier.BackendID]identifier.Slots
	sent    []peermessenger.Message
}

func newObserver(seed uint64) *observer {
	return &observer{
		q:       New(Options{Rand: rand.New(rand.NewPCG(seed, 1))}),
		now:     epoch,
		allowed: make(map[identifier.BackendID]identifier.Slots),
	}
}

func (o *observer) step(e Event) {
	for _, effect := range o.q.Step(o.now, e) {
		switch effect := effect.(type) {
		case Allow:
			o.allowed[effect.Backend] = effect.Tasks
		case Broadcast:
			o.sent = append(o.sent, effect.Message)
		}
	}
}

func (o *observer) fail(backend identifier.BackendID, job identifier.SubmissionID) {
	o.step(TaskFailed{Backend: backend, Submission: job})
}

func (o *observer) wait(d time.Duration) {
	o.now = o.now.Add(d)
	o.step(Tick{})
}

// allowance is what may run at once on a backend server.
func (o *observer) allowance(id identifier.BackendID) identifier.Slots {
	n, ok := o.allowed[id]
	if !ok {
		return Unlimited
	}
	return n
}

func TestQuarantine(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(o *observer)
		want identifier.Slots // of the backend server "a"
	}{
		{name: "no failure", do: func(*observer) {}, want: Unlimited},
		{name: "one failure", do: func(o *observer) { o.fail("a", "1") }, want: 0},
		{name: "another task succeeds", do: func(o *observer) {
			o.fail("a", "1")
			o.step(TaskSucceeded{Backend: "a"})
		}, want: Unlimited},
		{name: "task from before the failed one succeeds", do: func(o *observer) {
			o.now = o.now.Add(time.Second)
			o.fail("a", "1")
			o.step(TaskSucceeded{Backend: "a", RunTime: 500 * time.Millisecond})
		}, want: 0},
		{name: "tasks from before the failed one succeed on probation", do: func(o *observer) {
			o.fail("a", "1")
			o.wait(2 * firstClosing)
			for range neededProbes {
				o.step(TaskSucceeded{Backend: "a", RunTime: 3 * firstClosing})
			}
		}, want: 1},
		{name: "first closing over", do: func(o *observer) {
			o.fail("a", "1")
			o.wait(2 * firstClosing)
		}, want: 1},
		{name: "one job fails repeatedly", do: func(o *observer) {
			o.fail("a", "1")
			o.fail("a", "1")
			o.wait(2 * firstClosing)
		}, want: 1},
		{name: "second job fails", do: func(o *observer) {
			o.fail("a", "1")
			o.fail("a", "2")
			o.step(TaskSucceeded{Backend: "a"})
			o.wait(2 * firstClosing)
		}, want: 0},
		{name: "probe fails", do: func(o *observer) {
			o.fail("a", "1")
			o.wait(2 * firstClosing)
			o.fail("a", "2")
			o.wait(7 * firstClosing)
		}, want: 0},
		{name: "probes succeed", do: func(o *observer) {
			o.fail("a", "1")
			o.wait(2 * firstClosing)
			for range neededProbes {
				o.step(TaskSucceeded{Backend: "a"})
			}
		}, want: Unlimited},
		{name: "poison job", do: func(o *observer) {
			o.fail("a", "1")
			o.fail("b", "1")
			o.fail("a", "1")
		}, want: Unlimited},
		{name: "told by a peer", do: func(o *observer) {
			o.step(PeerReceived{Message: peermessenger.TasksFailed{Failures: []peermessenger.TaskFailure{
				{Backend: "a", Submission: "1"}, {Backend: "a", Submission: "2"},
			}}})
			o.wait(2 * firstClosing)
		}, want: 0},
		{name: "delisted and listed again", do: func(o *observer) {
			o.fail("a", "1")
			o.step(RacksSet{Racks: map[identifier.BackendID]identifier.RackID{"b": "r"}})
			o.step(RacksSet{Racks: map[identifier.BackendID]identifier.RackID{"a": "r"}})
			o.fail("a", "2")
			o.wait(2 * firstClosing)
		}, want: 1},
		{name: "rack lost", do: func(o *observer) {
			o.step(RacksSet{Racks: map[identifier.BackendID]identifier.RackID{"a": "r", "b": "r", "c": "r", "d": "r"}})
			for _, id := range []identifier.BackendID{"b", "c", "d"} {
				o.step(BackendLost{Backend: id})
			}
		}, want: 1},
		{name: "another rack lost", do: func(o *observer) {
			o.step(RacksSet{Racks: map[identifier.BackendID]identifier.RackID{"a": "r", "b": "s", "c": "s", "d": "s"}})
			for _, id := range []identifier.BackendID{"b", "c", "d"} {
				o.step(BackendLost{Backend: id})
			}
		}, want: Unlimited},
		{name: "servers of several racks lost", do: func(o *observer) {
			o.step(RacksSet{Racks: map[identifier.BackendID]identifier.RackID{"a": "r", "b": "r", "c": "s", "d": "s"}})
			for _, id := range []identifier.BackendID{"b", "c", "d"} {
				o.step(BackendLost{Backend: id})
			}
		}, want: Unlimited},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := newObserver(1)
			tc.do(o)
			if got := o.allowance("a"); got != tc.want {
				t.Errorf("allowance %d, want %d", got, tc.want)
			}
		})
	}
}

// TestBlackHoleCostsFewJobs has several VMs place one job after another while
// one backend server fails everything. Over an hour it may cost few jobs, and
// once it is mended it comes back.
func TestBlackHoleCostsFewJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 2))
		vms := make([]*observer, rapid.IntRange(1, 7).Draw(t, "vms"))
		for i := range vms {
			vms[i] = newObserver(r.Uint64())
		}
		failed := 0
		second := func(i int, broken bool) {
			for _, vm := range vms {
				vm.wait(time.Second)
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
			second(i, true)
			deliver(vms)
		}
		if failed > 12 {
			t.Fatalf("%d jobs failed within an hour, at %d VMs", failed, len(vms))
		}
		for i := range 3600 {
			second(i, false)
			deliver(vms)
		}
		for _, vm := range vms {
			if vm.allowance("hole") != Unlimited {
				t.Fatal("the mended backend server is not open again")
			}
		}
	})
}

// deliver hands each VM what the others have broadcast.
func deliver(vms []*observer) {
	for _, from := range vms {
		for _, m := range from.sent {
			for _, to := range vms {
				if to != from {
					to.step(PeerReceived{Message: m})
				}
			}
		}
		from.sent = nil
	}
}

// TestQuarantinerBounds checks the bounds of the tables, and that all healthy
// backend servers are open in the end.
func TestQuarantinerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newObserver(1)
		r := rand.New(rand.NewPCG(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 2))
		backends := 2 * maxSuspects
		for range 20_000 {
			o.fail(identifier.BackendID(fmt.Sprint(r.IntN(backends))), identifier.SubmissionID(fmt.Sprint(r.IntN(2*maxFailedJobs))))
			if len(o.q.suspects) > maxSuspects || len(o.q.jobs) > maxFailedJobs || len(o.q.news) > maxNews {
				t.Fatalf("%d suspects, %d jobs, %d news", len(o.q.suspects), len(o.q.jobs), len(o.q.news))
			}
		}
		for range neededProbes {
			o.wait(2 * maxClosing)
			for i := range backends {
				o.step(TaskSucceeded{Backend: identifier.BackendID(fmt.Sprint(i))})
			}
		}
		if n := o.q.Suspects(); n > 0 || len(o.q.jobs) > 0 {
			t.Fatalf("%d backend servers are still suspected, %d jobs remembered", n, len(o.q.jobs))
		}
	})
}
