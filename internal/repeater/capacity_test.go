package repeater

import (
	"strings"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// simulateCapacities plays a history of servers that start whatever they are told to, while
// capacities shrink and grow, servers restart with others, and VMs are cut off from the
// store, killed and paused.
func simulateCapacities(seed uint64) *simulation {
	const length = 16 * time.Second
	sim := newSimulation(seed, simConfig{
		vms: 3 + int(seed%4), servers: 10, jobs: 80, lateCalls: 0.01 * float64(seed%3), lostAnswers: 0.01 * float64(seed%2),
		faults: int(seed % 6), unguarded: true,
	})
	sim.verbose = *verbose
	for range 40 {
		sim.schedule(sim.randomDuration(time.Second, length), sim.injectCapacityChange)
	}
	for range int(seed % 5) {
		sim.schedule(sim.randomDuration(time.Second, length), sim.injectStoreCut)
	}
	sim.submitJobs(length)
	sim.scheduleFaults(length)
	sim.run(length + 6*time.Second)
	return sim
}

// TestNoStartOverReportedCapacity guards against starts beyond a capacity that a server has
// reported.
func TestNoStartOverReportedCapacity(t *testing.T) {
	completed, jobs := 0, 0
	for seed := *firstHistory; seed < *firstHistory+*histories/2; seed++ {
		sim := simulateCapacities(seed)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.trace, "\n"))
		}
		for _, j := range sim.jobs {
			jobs++
			if j.outcome == "completed" {
				completed++
			}
		}
	}
	t.Logf("%d of %d jobs completed", completed, jobs)
	if completed*2 < jobs {
		t.Errorf("%d of %d jobs completed", completed, jobs)
	}
}

// TestNoStartOverCapacityThatNoVMCanRead guards against starts beyond a capacity that was
// reported while all VMs were cut off from the store.
func TestNoStartOverCapacityThatNoVMCanRead(t *testing.T) {
	const allCutOff = 5184 // the seed of such a history
	if sim := simulateCapacities(allCutOff); len(sim.violations) > 0 {
		t.Error(strings.Join(sim.violations, "\n"))
	}
}

// TestNoStartOverCapacityByTwoOwners guards against starts by two VMs that both own a server
// which has restarted, and forgotten the higher token, while they can't hear each other.
func TestNoStartOverCapacityByTwoOwners(t *testing.T) {
	const twoOwners = 5650 // the seed of such a history
	if sim := simulateCapacities(twoOwners); len(sim.violations) > 0 {
		t.Error(strings.Join(sim.violations, "\n"))
	}
}

// TestNoStartOverCapacityInLaterHistories guards against starts beyond a capacity in three
// histories that were found after the fault of the two tests above had been mended.
func TestNoStartOverCapacityInLaterHistories(t *testing.T) {
	for _, seed := range []uint64{6005, 6802, 8185} {
		if sim := simulateCapacities(seed); len(sim.violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(sim.violations, "\n"))
		}
	}
}

// TestNoStartBeforeARestartedServerHasAnswered guards against starts by an owner that has
// not heard yet that its server has restarted and forgotten its token, while another VM
// starts runs there as well.
func TestNoStartBeforeARestartedServerHasAnswered(t *testing.T) {
	const twoOwnersOfARestartedServer = 35 // the seed of such a history
	if sim := simulateCapacities(twoOwnersOfARestartedServer); len(sim.violations) > 0 {
		t.Error(strings.Join(sim.violations, "\n"))
	}
}

// TestUnclaimedRunLeavesNoRoom guards against a run of unknown demand that counts as the
// capacity which its server had when the run was found.
func TestUnclaimedRunLeavesNoRoom(t *testing.T) {
	o := &ownedServer{Server: Server{Cores: 8000}, runs: make(map[identifier.RunRef]*run)}
	m := New(time.Unix(100, 0), Options{})
	m.addRun(o, &run{state: runFound, msg: peermessenger.RunTask{Millicores: o.Cores}})
	o.Cores = 16000
	if free, _ := o.free(time.Unix(100, 0)); free != 0 {
		t.Errorf("%d millicores are free", free)
	}
}
