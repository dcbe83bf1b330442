package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
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
	now := time.Unix(100, 0)
	m := New(now, Options{})
	o := &ownedServer{Server: Server{ID: "s"}, runs: make(map[identifier.RunRef]*run)}
	for range 10 {
		r := &run{startedAt: now, msg: peermessenger.RunTask{Estimate: time.Millisecond}}
		now = now.Add(12 * time.Millisecond)
		m.now = now
		m.recordCompletedRun(o, r)
	}
	if o.suspension > 0 {
		t.Errorf("the server is suspended at a pace of %.1f", o.pace.Pace())
	}
}
