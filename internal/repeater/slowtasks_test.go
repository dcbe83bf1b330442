package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// TestSlowTaskIsMovedOnce guards against a task that takes longer than declared anywhere and
// is stopped on server after server.
func TestSlowTaskIsMovedOnce(t *testing.T) {
	const length = 16 * time.Second
	sim := newSimulation(5, simConfig{vms: 3, servers: 24, jobs: 80, maxRunTime: 300 * time.Millisecond})
	sim.submitJobs(length)
	for i, j := range sim.jobs {
		if i%5 == 0 {
			j.estimate, j.runTime, j.patience = j.runTime, 8*j.runTime+time.Second, 12*time.Second
		}
	}
	sim.run(length + 16*time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
	starts := 0
	for i, j := range sim.jobs {
		if j.outcome != "completed" {
			t.Errorf("job %s: %q", j.id, j.outcome)
		}
		for index, n := range j.taskStarts {
			if n > 2 {
				t.Errorf("task %s/%d was started %d times", j.id, index, n)
			}
			if i%5 == 0 {
				starts += n
			}
		}
	}
	t.Logf("%d starts of slow tasks, %d suspensions", starts, sim.suspensions)
}

// TestTaskThatFailsAnywhereCountsOnce guards against each of the servers on which a hopeless
// task fails being blamed for it.
func TestTaskThatFailsAnywhereCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		avoid  []identifier.BackendID
		blamed int
	}{{"first failure", nil, 1}, {"second failure", []identifier.BackendID{"other"}, 0}} {
		m := New(time.Unix(100, 0), Options{})
		o := &ownedServer{Server: Server{ID: "s"}, runs: make(map[identifier.RunRef]*run)}
		r := &run{ref: identifier.RunRef{Number: 1}, state: runRunning, msg: peermessenger.RunTask{Avoid: test.avoid}}
		m.addRun(o, r)
		m.applyEndedRun(o, EndedRun{Sequence: 1, Run: r.ref, Ending: EndFailed})
		if o.failuresInRow != test.blamed {
			t.Errorf("%s: %d failures of the server", test.name, o.failuresInRow)
		}
	}
}
