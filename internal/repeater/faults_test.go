package repeater

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	histories    = flag.Uint64("histories", 100, "number of random histories of VMs, servers and callers to simulate")
	firstHistory = flag.Uint64("firstHistory", 0, "seed of the first history")
)

// TestNoTaskRunsTwiceAtATime simulates random histories with faults. No task
// may have two runs at the same moment, no job may run if each of its attempts
// was refused, and no request may be answered twice.
func TestNoTaskRunsTwiceAtATime(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+*histories; seed++ {
		sim := simulateFaults(seed)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.trace, "\n"))
		}
	}
}

// TestNoTaskRunsTwiceUnderStress simulates histories of long tasks in which one
// kind of fault is frequent. In seed 1 of the first kind, an owner was paused
// and then continued a run that its home had already rerun.
func TestNoTaskRunsTwiceUnderStress(t *testing.T) {
	const stressShare = 5 // each of the five kinds gets this fraction of the usual number of histories
	for _, faultsOf := range []defect{noExpiry, noFencing, extendUnclaimed, ignorePause, keepRunsAfterPause} {
		for seed := *firstHistory; seed < *firstHistory+*histories/stressShare; seed++ {
			if sim := simulate(seed, faultsOf, noDefect); len(sim.violations) > 0 {
				t.Fatalf("with the faults that show %q: seed %d: %s", faultsOf, seed, strings.Join(sim.violations, "\n"))
			}
		}
	}
}

// TestNoTaskRunsTwiceBesidePausedVM guards against an owner that continues a run after a
// pause in which the run's home gave it up, while a cut loses the home's cancel.
func TestNoTaskRunsTwiceBesidePausedVM(t *testing.T) {
	for _, seed := range []uint64{40019, 53502} {
		if sim := simulate(seed, ignorePause, noDefect); len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(sim.violations, "\n"))
		}
	}
}

// TestNoTaskRunsTwiceInASparseFleet simulates fleets whose VMs keep links only to their
// neighborhoods and to a few contacts.
func TestNoTaskRunsTwiceInASparseFleet(t *testing.T) {
	const length = 14 * time.Second
	for seed := *firstHistory; seed < *firstHistory+*histories/5; seed++ {
		sim := newSimulation(seed, simConfig{
			vms: 10 + int(seed%5), servers: 24, jobs: 200, faults: 6 + int(seed%9), lateCalls: 0.01 * float64(seed%4),
			lostAnswers: 0.01 * float64(seed%3), failedRuns: 0.01, neighborhood: 3, farContacts: 3,
		})
		for range 4 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectPause)
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectKill)
		}
		sim.submitJobs(length)
		sim.scheduleFaults(length)
		sim.run(length + 6*time.Second)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.trace, "\n"))
		}
		if len(sim.dropped) == 0 {
			t.Errorf("seed %d: no link was given up", seed)
		}
	}
}

// TestNoVMGoesBackToOlderRoutes simulates histories with pauses and changes of the
// routes.
func TestNoVMGoesBackToOlderRoutes(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+*histories; seed++ {
		if sim := simulate(seed, routeAheadOfEvents, noDefect); len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.trace, "\n"))
		}
	}
}

// TestNoTaskRunsTwiceWhenLinksHoldMessages guards against messages that a link delivers
// after a cut, when their sender has given up what they ask for.
func TestNoTaskRunsTwiceWhenLinksHoldMessages(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+*histories; seed++ {
		if sim := simulate(seed, holdMessages, noDefect); len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.trace, "\n"))
		}
	}
}

// TestNoTaskRunsTwiceRapid lets rapid choose and shrink the seed of the
// history.
func TestNoTaskRunsTwiceRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := simulateFaults(rapid.Uint64().Draw(t, "seed"))
		if len(sim.violations) > 0 {
			t.Fatalf("%s", strings.Join(sim.violations, "\n"))
		}
	})
}

var verbose = flag.Bool("verboseHistories", false, "the trace of a history contains all decisions")

func simulateFaults(seed uint64) *simulation { return simulate(seed, noDefect, noDefect) }

// simulate runs a history without one protection: missing is the defect that
// switches it off. faultsOf is the defect whose faults are frequent in the
// history: those that the protection against it is there for.
func simulate(seed uint64, faultsOf, missing defect) *simulation {
	const length = 14 * time.Second
	sim := newSimulation(seed, simConfig{
		vms: 3 + int(seed%4), servers: 6 + int(seed%5), jobs: 120, faults: 3 + int(seed%9),
		lateCalls: 0.01 * float64(seed%4), lostAnswers: 0.01 * float64(seed%3), failedRuns: 0.01,
		latePolls: 0.02 * float64(seed%3), neighborhood: 2 * int(seed%2), defect: missing,
	})
	sim.verbose = *verbose
	switch faultsOf {
	case noExpiry:
		// The expiry of a start guards against late calls, when the stops that follow
		// get lost.
		sim.cfg.lateCalls, sim.cfg.maxRunTime = 0.2, 4*time.Second
		for range 30 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectServerCut)
		}
	case noFencing:
		sim.cfg.maxRunTime = 3 * time.Second
		for range 20 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectVMCut)
		}
	case holdMessages:
		sim.cfg.maxRunTime, sim.cfg.linksHold = 3*time.Second, simLinkTimeout
		if missing == holdMessages {
			sim.cfg.linksHold = simPingTimeout
		}
		for range 20 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectShortCut)
		}
	case routeAheadOfEvents, trustOldRoutes:
		sim.cfg.routeChanges, sim.cfg.routeRequests = 40, 1200
		sim.routes.schedule(length)
	case keepRunsAfterPause:
		sim.cfg.maxRunTime = 3 * time.Second
		for range 20 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectPauseInCut)
		}
	case ignorePause, acceptStaleRequests:
		sim.cfg.maxRunTime = 3 * time.Second
		for range 20 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectPause)
		}
	case extendUnclaimed, replayReports, dropCancels:
		sim.cfg.maxRunTime = 4 * time.Second // a run has to outlast the loss of its home and the next attempt
		for range 8 {
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectKill)
			sim.schedule(sim.randomDuration(1500*time.Millisecond, length), sim.injectPairCut)
		}
	default:
	}
	sim.submitJobs(length)
	sim.scheduleFaults(length)
	sim.run(length + 6*time.Second)
	return sim
}

// TestJobsCompleteOnTimeWithoutFaults simulates a small load without faults:
// each job must complete within its objective.
func TestJobsCompleteOnTimeWithoutFaults(t *testing.T) {
	const length = 20 * time.Second
	sim := newSimulation(1, simConfig{vms: 5, servers: 12, jobs: 60})
	sim.submitJobs(length)
	sim.run(length + 4*time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(strings.Join(sim.violations, "\n"))
	}
	for _, j := range sim.jobs {
		if j.outcome != "completed" {
			t.Errorf("job %s: %q", j.id, j.outcome)
			continue
		}
		if took := j.endedAt.Sub(j.firstSentAt); took > j.objective() {
			t.Errorf("job %s of %v took %v", j.id, j.runTime, took)
		}
	}
}
