package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// crashesServer reports whether a task of the job crashes each server that starts it.
func (j *simJob) crashesServer(index identifier.TaskIndex) bool { return j.crashing[index] }

// crashUnder ends the server's process if it still has the run. The server is back as
// another process after some seconds, at the same address.
func (s *simServer) crashUnder(r *simRun) {
	if r.finished || s.down {
		return
	}
	s.sim.tracef("%s crashes under %v", s.ID, r.ref)
	s.crash(s.sim.randomDuration(3*time.Second, 3500*time.Millisecond))
}

// crash ends the server's process for a while, in which it refuses connections unless the
// history has silent crashes.
func (s *simServer) crash(d time.Duration) {
	for _, r := range s.sortedRuns() {
		j := s.sim.jobOf(r.ref.Task)
		j.crashes[r.ref.Task.Index]++
		if j.crashes[r.ref.Task.Index] > 1 && !j.crashesServer(r.ref.Task.Index) {
			s.sim.lostTwice++
		}
	}
	s.sim.crashes++
	polls := s.openPolls
	s.down, s.refuses = true, !s.sim.cfg.silentCrashes
	s.restart()
	for _, p := range polls {
		if p.answered {
			continue
		}
		p.answered = true // by nobody: the process is gone
		if s.refuses {
			p.reset()
		}
	}
	s.sim.schedule(d, func() {
		s.down, s.refuses = false, false
		s.restart()
	})
}

// makeCrashing makes the first task of a share of the jobs crash its servers, and all
// callers wait for patience beyond three times the objective.
func (sim *simulation) makeCrashing(share float64, patience time.Duration) {
	for _, j := range sim.jobs {
		j.patience = patience
		if sim.chance(share) {
			j.crashing[0] = true
		}
	}
}
