package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// TestNoEndingOfEarlierServerProcess guards against a run of a resubmitted job that is told
// to have ended, because a run of the first submission ended on the server's earlier process.
func TestNoEndingOfEarlierServerProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	ref := identifier.RunRef{Task: identifier.TaskRef{Submission: "a"}, Number: 1}
	home := identifier.Member{VM: "vm-1"}
	for _, test := range []struct {
		name       string
		generation identifier.Generation // of the server now; 0: not known yet
		told       bool
	}{{"same process", 7, true}, {"later process", 8, false}, {"process not known yet", 0, false}} {
		m := New(now, Options{Self: identifier.Member{VM: "vm-0"}})
		m.now = now
		m.ended[ref] = endedRun{msg: peermessenger.TaskEnded{Run: ref, Backend: "s", Ending: peermessenger.RunStopped}, at: now, generation: 7}
		m.addOwned(&ownedServer{Server: Server{ID: "s"}, generation: test.generation, runs: make(map[identifier.RunRef]*run)})
		claimed := ref
		claimed.JobRun = 3
		m.handleClaims(home, peermessenger.ClaimRuns{Backend: "s", Runs: []peermessenger.ClaimedRun{{Run: claimed, Backend: "s"}}})
		told := false
		for _, e := range m.effects {
			if s, ok := e.(SendMessage); ok {
				_, ended := s.Message.(peermessenger.TaskEnded)
				told = told || ended
			}
		}
		if told != test.told {
			t.Errorf("%s: the home is told of an end: %v", test.name, told)
		}
	}
}
