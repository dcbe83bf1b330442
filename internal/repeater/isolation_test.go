package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// TestTaskThatCannotRunAgainInTimeIsAnswered guards against a caller who waits in vain for a
// task that may crash another server while too many are down.
func TestTaskThatCannotRunAgainInTimeIsAnswered(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		newest   bool // of the runs on the server that crashed
		left     time.Duration
		answered bool
	}{
		{"likely cause without time", true, time.Second, true},
		{"likely cause with time", true, 10 * time.Second, false},
		{"unlikely cause", false, time.Second, false},
	} {
		m := New(now, Options{Self: identifier.Member{VM: "vm-0"}})
		m.now = now
		m.aloneLosses = []time.Time{now.Add(-time.Second)}
		j := m.newJob(JobSubmitted{Request: 1, Job: Job{ID: "a", Tasks: 1, Estimate: 100 * time.Millisecond, Budget: test.left}})
		m.jobs["a"], m.jobOfRequest[1] = j, "a"
		m.recordLoss(peermessenger.LostRun{Run: j.ref(0), Backend: "s", Cause: peermessenger.ServerCrashed, Newest: test.newest})
		m.rerunTask(j, 0, 1)
		answered := false
		for _, e := range m.effects {
			if r, ok := e.(Reply); ok {
				_, lost := r.Outcome.(Lost)
				answered = answered || lost
			}
		}
		if answered != test.answered {
			t.Errorf("%s: answered as lost: %v", test.name, answered)
		}
	}
}
