package repeater

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/packer"
)

// keepPairsApart switches on the part that keeps tasks apart that disturb each other.
func keepPairsApart(o *Options) { o.KeepPairsApart = true }

// TestDisturbedTasksAreKeptApart guards against tasks that are late because of what runs
// beside them while other servers have room: with the part, at most half as many are.
func TestDisturbedTasksAreKeptApart(t *testing.T) {
	t.Parallel()
	l := findLoad(t, "disturbing")
	sim, with := l.playWith(t, keepPairsApart)
	_, without := l.playWith(t, nil)
	if late, before := with["usual"].late, without["usual"].late; 2*late > before {
		t.Errorf("%d jobs are late, %d without the part", late, before)
	}
	apart := 0
	for _, vm := range sim.vms {
		apart = max(apart, vm.machine.Counters().PairsApart)
	}
	if apart != 1 {
		t.Errorf("%d pairs are kept apart, want the one that disturbs", apart)
	}
}

// TestPairsWaitForNothing guards against a task that waits, or goes to none of the servers
// with room, because of what runs there.
func TestPairsWaitForNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) packer.Server {
			return packer.Server{
				Capacity: 16000, Free: identifier.Millicores(rapid.IntRange(0, 16000).Draw(t, "free")), FreeMem: 100,
				Slowness: 1, Disturbance: rapid.Float64Range(0, 20).Draw(t, "disturbance"),
			}
		}), 0, 10).Draw(t, "servers")
		d := packer.Demand{Cores: identifier.Millicores(rapid.IntRange(1, 16000).Draw(t, "cores"))}
		i := packer.Pick(servers, d, nil)
		for _, s := range servers {
			if s.Fits(d) && i < 0 {
				t.Fatalf("a task of %d millicores finds no server among %v", d.Cores, servers)
			}
		}
		if i >= 0 && !servers[i].Fits(d) {
			t.Fatalf("a task of %d millicores goes to %v", d.Cores, servers[i])
		}
	})
}
