package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func testBackends(n int) []Backend {
	backends := make([]Backend, n)
	for i := range backends {
		backends[i] = Backend{
			ID:           identifier.BackendID(fmt.Sprintf("b%03d", i)),
			Domain:       identifier.FailureDomain(fmt.Sprint("d", i%3)),
			Rack:         identifier.RackID(fmt.Sprint("r", i/8)),
			Address:      fmt.Sprintf("127.0.0.1:%d", 10000+i),
			Slots:        8,
			Connections:  64,
			Millicores:   32_000,
			Memory:       65_536,
			Accelerators: 2,
		}
	}
	return backends
}

func testTasks(first, n int, policy Policy) []TaskNeeds {
	tasks := make([]TaskNeeds, n)
	for i := range tasks {
		tasks[i] = TaskNeeds{
			Ref:        identifier.TaskRef{Submission: "job", Index: identifier.TaskIndex(first + i)},
			Millicores: 1000,
			Memory:     256,
			Goal:       MinimizeLatency,
			Policy:     policy,
		}
	}
	return tasks
}

func newTestPlacer(backends []Backend) *Placer {
	self := identifier.Member{VM: "vm0", Incarnation: 1}
	p := New(Options{Self: self, Domain: "d0", Rand: rand.New(rand.NewPCG(1, 1))})
	p.SetMembers(epoch, []DomainMember{{Member: self, Domain: "d0"}})
	p.SetBackends(epoch, backends)
	return p
}

func TestPlaceSkipsClosedBackends(t *testing.T) {
	for _, tc := range []struct {
		name  string
		close func(p *Placer, backends []Backend)
		after time.Duration // from when it takes tasks again; 0: never
	}{
		{name: "listed as leaving", close: func(p *Placer, backends []Backend) {
			backends[0].Leaving = true
			p.SetBackends(epoch, backends)
		}},
		{name: "refused as leaving", close: func(p *Placer, _ []Backend) {
			p.Step(epoch, StartRefused{Backend: "b000", Reason: Leaving})
		}},
		{name: "reported as leaving", close: func(p *Placer, _ []Backend) {
			p.Step(epoch, UsageReported{Backend: "b000", Leaving: true})
		}},
		{name: "evacuated", close: func(p *Placer, backends []Backend) {
			backends[0].Domain = "d9"
			p.SetBackends(epoch, backends)
			p.SetEvacuated(epoch, []identifier.FailureDomain{"d9"})
		}},
		{name: "listed while evacuated", close: func(p *Placer, backends []Backend) {
			p.SetEvacuated(epoch, []identifier.FailureDomain{"d9"})
			backends[0].Domain = "d9"
			p.SetBackends(epoch, backends)
		}},
		{name: "in quarantine", close: func(p *Placer, _ []Backend) {
			p.Step(epoch, AllowanceChanged{Backend: "b000", Tasks: 0})
		}},
		{name: "full", close: func(p *Placer, _ []Backend) {
			p.Step(epoch, StartRefused{Backend: "b000", Reason: Full})
		}, after: minFullBackoff},
		{name: "unreachable", close: func(p *Placer, _ []Backend) {
			p.Step(epoch, StartRefused{Backend: "b000", Reason: Unreachable})
		}, after: minUnreachableBackoff},
		{name: "delisted", close: func(p *Placer, backends []Backend) {
			p.SetBackends(epoch, backends[1:])
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, policy := range []Policy{Random{}, TwoChoices{}} {
				backends := testBackends(4)
				p := newTestPlacer(backends)
				tc.close(p, backends)
				for _, placement := range p.Place(epoch, testTasks(0, 100, policy)) {
					if placement.Backend == "b000" {
						t.Fatalf("%T placed a task on b000, which takes no new work", policy)
					}
				}
				unblockedAt := epoch.Add(max(tc.after, 2*time.Second))
				p.Step(unblockedAt, Tick{})
				accepts := len(p.Place(unblockedAt, testTasks(100, 8, policy))) > 0
				if want := tc.after > 0; accepts != want {
					t.Errorf("%T: b000 takes tasks again: %v, want %v", policy, accepts, want)
				}
			}
		})
	}
}

func TestFits(t *testing.T) {
	p := newTestPlacer(testBackends(2))
	for _, tc := range []struct {
		name  string
		needs TaskNeeds
		fits  bool
	}{
		{name: "largest", needs: TaskNeeds{Millicores: 32_000, Memory: 65_536, Accelerators: 2}, fits: true},
		{name: "cores", needs: TaskNeeds{Millicores: 32_001}},
		{name: "memory", needs: TaskNeeds{Memory: 65_537}},
		{name: "accelerators", needs: TaskNeeds{Accelerators: 3}},
	} {
		if got := p.Fits(tc.needs); got != tc.fits {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.fits)
		}
	}
}

// TestPlaceKeepsBounds checks that, after any sequence of placed and ended
// tasks, no backend server runs more tasks than it has slots or uses more
// accelerators than it has, and that Place leaves no task waiting while a slot
// is free.
func TestPlaceKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const backends = 5
		p := newTestPlacer(testBackends(backends))
		running := make(map[identifier.BackendID][]TaskNeeds)
		total, next := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				policy := rapid.SampledFrom([]Policy{Random{}, TwoChoices{}}).Draw(t, "policy")
				tasks := testTasks(next, rapid.IntRange(1, 20).Draw(t, "wants"), policy)
				next += len(tasks)
				for i := range tasks {
					tasks[i].Accelerators = 0
					if rapid.IntRange(0, 3).Draw(t, "accelerated") == 0 {
						tasks[i].Accelerators = 1
					}
				}
				byRef := make(map[identifier.TaskRef]TaskNeeds)
				plain := 0
				for _, w := range tasks {
					byRef[w.Ref] = w
					if w.Accelerators == 0 {
						plain++
					}
				}
				placed := 0
				for _, placement := range p.Place(epoch, tasks) {
					w := byRef[placement.Ref]
					running[placement.Backend] = append(running[placement.Backend], w)
					total++
					if w.Accelerators == 0 {
						placed++
					}
				}
				if placed < plain && total < backends*8 {
					t.Fatalf("%d of %d tasks without accelerators were placed, though only %d slots are in use", placed, plain, total)
				}
			},
			"end": func(t *rapid.T) {
				id := identifier.BackendID(fmt.Sprintf("b%03d", rapid.IntRange(0, backends-1).Draw(t, "backend")))
				if len(running[id]) == 0 {
					return
				}
				w := running[id][0]
				running[id] = running[id][1:]
				total--
				p.Step(epoch, TaskEnded{Backend: id, Ref: w.Ref, Succeeded: true})
			},
			"": func(t *rapid.T) {
				for id, tasks := range running {
					accelerators := 0
					for _, w := range tasks {
						accelerators += int(w.Accelerators)
					}
					if len(tasks) > 8 || accelerators > 2 {
						t.Fatalf("%s runs %d tasks with %d accelerators", id, len(tasks), accelerators)
					}
				}
			},
		})
	})
}

// TestConnectionShares checks that all entry VMs together stay within a backend
// server's connections, also while some VMs use the old list of entry VMs and
// others the new one.
func TestConnectionShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 64).Draw(t, "connections")
		before := rapid.IntRange(1, 100).Draw(t, "before")
		after := rapid.IntRange(1, 100).Draw(t, "after")
		switched := rapid.IntRange(0, 100).Draw(t, "switched")
		total := 0
		for i := range max(before, after) {
			n := before
			if i < switched {
				n = after
			}
			if i < n {
				total += shareOf(i, n, connections)
			}
		}
		if total > connections {
			t.Fatalf("the shares add up to %d connections, the backend server allows %d", total, connections)
		}
	})
}

func shareOf(i, n, connections int) int {
	members := make([]DomainMember, n)
	for k := range members {
		members[k] = DomainMember{
			Member: identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", k)), Incarnation: 1},
			Domain: identifier.FailureDomain(fmt.Sprint("d", k%3)),
		}
	}
	b := testBackends(1)
	b[0].Connections = connections
	p := New(Options{Self: members[i].Member, Domain: members[i].Domain, Rand: rand.New(rand.NewPCG(1, 1))})
	p.SetMembers(epoch, members)
	p.SetBackends(epoch, b)
	return p.ConnectionShare("b000")
}

// TestTakenBackServersGetTasks guards against backend servers that stay unused, or uncounted,
// after the evacuation of their failure domain has ended.
func TestTakenBackServersGetTasks(t *testing.T) {
	backends := testBackends(6)
	p := newTestPlacer(backends)
	all := p.AcceptingSlots(epoch)
	p.SetEvacuated(epoch, []identifier.FailureDomain{"d0", "d1", "d2"})
	if n := p.AcceptingSlots(epoch); n != 0 {
		t.Errorf("%d slots accept work while all failure domains are evacuated", n)
	}
	task := testTasks(0, 1, Random{})
	if !p.Fits(task[0]) || p.FitsOutsideEvacuations(task[0]) {
		t.Error("a task that fits on evacuated backend servers alone is not told apart")
	}
	if placed := p.Place(epoch, task); len(placed) > 0 {
		t.Errorf("a task was placed on %s", placed[0].Backend)
	}
	p.SetEvacuated(epoch, nil)
	if n := p.AcceptingSlots(epoch); n != all {
		t.Errorf("%d of %d slots accept work", n, all)
	}
	if len(p.Place(epoch, task)) != 1 || !p.FitsOutsideEvacuations(task[0]) {
		t.Error("no task was placed after the evacuation")
	}
}
