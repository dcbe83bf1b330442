// Package quarantiner decides which backend servers get no work, or only single
// probes, because tasks fail there.
//
// A backend server where a task fails is closed for some seconds, unless a task
// that was started after it succeeds. When the next probe, of another job, fails
// as well, it is closed for longer, up to a bound; a few probes that succeed open
// it again. A job that fails on several backend
// servers does not count against them. A Quarantiner is deterministic: it reads
// no clock, and its randomness comes from the generator handed in. It is not
// safe for concurrent use.
package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	firstClosing  = 5 * time.Second  // after the first failed job
	closingGrowth = 8                // factor from one closing to the next
	maxClosing    = 10 * time.Minute // bound of its growth
	closingJitter = 0.5              // share of a closing by which it may be longer
	neededProbes  = 3                // successes that end the probation
	maxAccusers   = 8                // distinct jobs kept for a backend server
	maxSuspects   = 4096             // backend servers under suspicion at once
	maxFailedJobs = 4096             // failed jobs remembered at once
	memory        = 10 * time.Minute // after the last failure, before a failed job is forgotten
	sweepInterval = 5 * time.Second  // between two looks for failed jobs to forget
	maxNews       = 1024             // failures in one message
	rackLosses    = 3                // lost backend servers that make the rest of their rack suspect
	rackWindow    = 2 * time.Second  // within which they have to be lost
	maxRackLosses = 64               // lost backend servers remembered for a rack
)

// Quarantiner decides which backend servers get no work.
type Quarantiner struct {
	opts     Options
	suspects map[identifier.BackendID]*suspect
	jobs     map[identifier.SubmissionID]*failedJob
	racks    map[identifier.BackendID]identifier.RackID
	losses   map[identifier.RackID][]loss
	sweepAt  time.Time
	news     []peermessenger.TaskFailure
	effects  []Effect
}

// New returns a Quarantiner that suspects nobody.
func New(opts Options) *Quarantiner {
	return &Quarantiner{
		opts:     opts,
		suspects: make(map[identifier.BackendID]*suspect),
		jobs:     make(map[identifier.SubmissionID]*failedJob),
		losses:   make(map[identifier.RackID][]loss),
	}
}

// Step applies an event and returns what follows from it. The slice is valid
// until the next call.
func (q *Quarantiner) Step(now time.Time, e Event) []Effect {
	q.effects = q.effects[:0]
	switch e := e.(type) {
	case RacksSet:
		q.setRacks(e.Racks)
	case TaskSucceeded:
		q.succeeded(e.Backend, now.Add(-e.RunTime))
	case TaskFailed:
		q.failed(now, now.Add(-e.RunTime), e.Backend, e.Submission, true)
	case BackendLost:
		q.lost(now, e.Backend)
	case PeerReceived:
		q.peerReceived(now, e)
	case Tick:
		q.tick(now)
	}
	return q.effects
}

// Suspects returns the number of backend servers that are closed or on probation.
func (q *Quarantiner) Suspects() int { return len(q.suspects) }

func (q *Quarantiner) peerReceived(now time.Time, e PeerReceived) {
	m, ok := e.Message.(peermessenger.TasksFailed)
	if !ok {
		return
	}
	for _, f := range m.Failures {
		q.failed(now, now, f.Backend, f.Submission, false)
	}
}

// setRacks forgets the backend servers that are no longer listed.
func (q *Quarantiner) setRacks(racks map[identifier.BackendID]identifier.RackID) {
	q.racks = racks
	for id := range q.suspects {
		if _, ok := racks[id]; !ok {
			delete(q.suspects, id)
		}
	}
	clear(q.losses)
}

// succeeded opens a backend server that has shown that it works: at once when a
// single job failed there, else after some probes. A task that was started before
// the one that failed shows nothing.
func (q *Quarantiner) succeeded(id identifier.BackendID, startedAt time.Time) {
	s, ok := q.suspects[id]
	if !ok || startedAt.Before(s.brokenAt) {
		return
	}
	if s.phase == closed {
		if len(s.jobs) <= 1 && s.strikes <= 1 {
			q.release(s)
		}
		return
	}
	s.probes++
	if s.probes >= neededProbes {
		q.release(s)
	}
}

func (q *Quarantiner) release(s *suspect) {
	delete(q.suspects, s.backend)
	q.effects = append(q.effects, Allow{Backend: s.backend, Tasks: Unlimited})
}

// failed takes in a failed task, seen by this VM or told by another one.
func (q *Quarantiner) failed(now, startedAt time.Time, id identifier.BackendID, job identifier.SubmissionID, seen bool) {
	if q.racks != nil {
		if _, ok := q.racks[id]; !ok {
			return
		}
	}
	if q.poisoned(now, id, job) {
		return
	}
	if seen && len(q.news) < maxNews {
		q.news = append(q.news, peermessenger.TaskFailure{Backend: id, Submission: job})
	}
	q.suspect(now, id, job)
	if s, ok := q.suspects[id]; ok {
		s.brokenAt = startedAt
	}
}

// poisoned notes where a job failed, and reports whether it failed on several
// backend servers. What it said of the first one is taken back.
func (q *Quarantiner) poisoned(now time.Time, id identifier.BackendID, job identifier.SubmissionID) bool {
	f, ok := q.jobs[job]
	if !ok {
		if len(q.jobs) < maxFailedJobs {
			q.jobs[job] = &failedJob{backend: id, failedAt: now}
		}
		return false
	}
	f.failedAt = now
	if f.poison || f.backend == id {
		return f.poison
	}
	f.poison = true
	if s, ok := q.suspects[f.backend]; ok && s.acquit(job) {
		q.release(s)
	}
	return true
}

func (q *Quarantiner) suspect(now time.Time, id identifier.BackendID, job identifier.SubmissionID) {
	s, ok := q.suspects[id]
	if !ok {
		if len(q.suspects) >= maxSuspects {
			return
		}
		s = &suspect{backend: id}
		q.suspects[id] = s
		s.accuse(job)
		q.close(now, s)
		return
	}
	news := s.accuse(job)
	switch {
	case s.phase == probation:
		q.close(now, s)
	case news && s.strikes == 1 && len(s.jobs) > 1:
		q.close(now, s) // a second job failed before the first closing was over
	case news && now.Sub(s.closedAt) >= firstClosing:
		q.close(now, s) // another VM's probe failed
	}
}

// close closes a backend server, each time for longer.
func (q *Quarantiner) close(now time.Time, s *suspect) {
	d := firstClosing
	for range s.strikes {
		d = min(maxClosing, d*closingGrowth)
	}
	d += time.Duration(closingJitter * q.opts.Rand.Float64() * float64(d))
	s.strikes++
	s.phase = closed
	s.closedAt = now
	s.until = now.Add(d)
	s.probes = 0
	q.effects = append(q.effects, Allow{Backend: s.backend, Tasks: 0})
}

func (q *Quarantiner) tick(now time.Time) {
	for _, id := range q.due(now) {
		s := q.suspects[id]
		s.phase = probation
		q.effects = append(q.effects, Allow{Backend: id, Tasks: 1})
	}
	q.forgetJobs(now)
	if len(q.news) > 0 {
		q.effects = append(q.effects, Broadcast{Message: peermessenger.TasksFailed{Failures: q.news}})
		q.news = nil
	}
}

// forgetJobs drops the jobs of which no task failed lately.
func (q *Quarantiner) forgetJobs(now time.Time) {
	if now.Before(q.sweepAt) {
		return
	}
	q.sweepAt = now.Add(sweepInterval)
	for job, f := range q.jobs {
		if now.Sub(f.failedAt) >= memory {
			delete(q.jobs, job)
		}
	}
}

// due returns the backend servers whose closing is over, in the order of their names.
func (q *Quarantiner) due(now time.Time) []identifier.BackendID {
	var ids []identifier.BackendID
	for id, s := range q.suspects {
		if s.phase == closed && !now.Before(s.until) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b identifier.BackendID) int { return strings.Compare(string(a), string(b)) })
	return ids
}
