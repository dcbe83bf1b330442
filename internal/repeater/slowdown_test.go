package repeater

import (
	"testing"
	"time"
)

// TestSlowServersAreSuspended checks that slow servers hardly affect callers.
// Two of twelve servers take six times as long, and still nine of ten jobs must
// be on time: only those that meet a slow server before its slowdown is known
// are late.
func TestSlowServersAreSuspended(t *testing.T) {
	const length = 20 * time.Second
	sim := newSimulation(11, simConfig{vms: 3, servers: 12, jobs: 600, maxRunTime: 120 * time.Millisecond})
	sim.servers[2].slowness, sim.servers[7].slowness = 6, 6
	sim.submitJobs(length)
	sim.run(length + 6*time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
	onTime := 0
	for _, j := range sim.jobs {
		if j.onTime() {
			onTime++
		}
	}
	t.Logf("%d of %d jobs are on time", onTime, len(sim.jobs))
	if onTime*10 < len(sim.jobs)*9 {
		t.Errorf("%d of %d jobs are on time", onTime, len(sim.jobs))
	}
}

// TestShortTasksDontCountAsSlow checks that the time of messages and calls,
// which is long compared with a task of a few milliseconds, doesn't make a
// server count as slow.
func TestShortTasksDontCountAsSlow(t *testing.T) {
	var p slowdown
	for range 10 {
		p.add(12*time.Millisecond, time.Millisecond)
	}
	if p.slow(1) {
		t.Errorf("a slowdown of %.1f counts as slow", p.mean)
	}
}
