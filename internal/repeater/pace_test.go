package repeater

import (
	"testing"
	"time"
)

// TestSlowServersAreSetAside plays a day on which two servers of ten work six
// times slower. Callers get nine jobs of ten on time all the same: those that
// meet a slow server before its pace is known are late.
func TestSlowServersAreSetAside(t *testing.T) {
	const length = 20 * time.Second
	w := newWorld(11, worldConfig{vms: 3, servers: 12, jobs: 600, longest: 120 * time.Millisecond})
	w.servers[2].slowness, w.servers[7].slowness = 6, 6
	w.submitJobs(length)
	w.run(length + 6*time.Second)
	if len(w.violations) > 0 {
		t.Fatal(w.violations)
	}
	onTime := 0
	for _, j := range w.jobs {
		if j.onTime() {
			onTime++
		}
	}
	t.Logf("%d of %d jobs are on time", onTime, len(w.jobs))
	if onTime*10 < len(w.jobs)*9 {
		t.Errorf("%d of %d jobs are on time", onTime, len(w.jobs))
	}
}

// TestShortTasksMakeNoServerSlow holds that the way of messages and calls, which
// is long against a task of a few milliseconds, isn't taken for a slow server.
func TestShortTasksMakeNoServerSlow(t *testing.T) {
	var p pace
	for range 10 {
		p.add(12*time.Millisecond, time.Millisecond)
	}
	if p.slow(1) {
		t.Errorf("a pace of %.1f is slow", p.mean)
	}
}
