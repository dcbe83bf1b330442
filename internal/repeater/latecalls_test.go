package repeater

import (
	"testing"
	"time"
)

// TestLostCallsDontSuspendServers checks that servers are not blamed for lost
// calls. A tenth of the starts, stops and polls get no answer and are carried
// out seconds later, under a load that half of the servers could carry. Nine of
// ten jobs must complete, and at most one of twenty may be refused.
func TestLostCallsDontSuspendServers(t *testing.T) {
	const length = 20 * time.Second
	sim := newSimulation(3, simConfig{vms: 3, servers: 14, jobs: 500, maxRunTime: 250 * time.Millisecond, lateCalls: 0.1, latePolls: 0.1})
	sim.submitJobs(length)
	sim.run(length + 6*time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
	refused, done, onTime := 0, 0, 0
	for _, j := range sim.jobs {
		switch j.outcome {
		case "refused":
			refused++
		case "completed":
			done++
			if j.onTime() {
				onTime++
			}
		}
	}
	t.Logf("%d jobs: %d completed, %d on time, %d refused", len(sim.jobs), done, onTime, refused)
	if refused*20 > len(sim.jobs) || done*10 < len(sim.jobs)*9 {
		t.Errorf("%d of %d jobs completed, %d were refused", done, len(sim.jobs), refused)
	}
}

// TestShortJobsOnTimeDespiteLateCalls plays a light load of short jobs while servers
// leave 5.5% of the calls unanswered, as on the users' days with orders that are carried
// out late. It guards against jobs that are late because their VM waits long for answers.
func TestShortJobsOnTimeDespiteLateCalls(t *testing.T) {
	const length = 22 * time.Second
	sent, onTime, done := 0, 0, 0
	for seed := range uint64(4) {
		sim := newSimulation(seed, simConfig{vms: 5, servers: 48, jobs: 800, maxRunTime: 150 * time.Millisecond, lateCalls: 0.055, latePolls: 0.055})
		sim.submitJobs(length)
		sim.run(length + 6*time.Second)
		if len(sim.violations) > 0 {
			t.Fatal(sim.violations)
		}
		for _, j := range sim.jobs {
			sent++
			if j.outcome == "completed" {
				done++
			}
			if j.onTime() {
				onTime++
			}
		}
	}
	t.Logf("%d jobs: %d completed, %d on time", sent, done, onTime)
	if done*1000 < sent*995 || onTime*100 < sent*95 {
		t.Errorf("%d of %d jobs completed, %d on time", done, sent, onTime)
	}
}
