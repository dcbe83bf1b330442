// Package quarantiner decides which backend servers get no work, or only single
// probes, because tasks fail there.
//
// A backend server on which a task fails is quarantined for some seconds. If only one
// job failed there, the quarantine ends as soon as a task that was started after the
// failed one succeeds there.
// After its quarantine the server is on probation and gets one task at a time, as a
// probe. If a probe fails, the server is quarantined for longer, up to a bound; a few
// probes that succeed release it. A job that fails on several backend servers does
// not count against them.
//
// A Quarantiner is deterministic: it reads no clock, and its randomness comes from
// the generator in its Options. It is not safe for concurrent use.
package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	firstQuarantine          = 5 * time.Second  // after the first failed job
	quarantineGrowth         = 8                // factor from one quarantine to the next
	maxQuarantine            = 10 * time.Minute // bound of a quarantine without its jitter
	quarantineJitter         = 0.5              // share of a quarantine by which it may be longer
	neededSuccesses          = 3                // successful probes that end the probation
	maxJobsPerSuspect        = 8                // distinct failed jobs kept for a backend server
	maxSuspects              = 4096             // suspected backend servers at once
	maxFailedJobs            = 4096             // failed jobs remembered at once
	failedJobRetention       = 10 * time.Minute // after the job's last failure
	sweepInterval            = 5 * time.Second  // between two removals of expired failed jobs
	maxPendingFailures       = 1024             // failures in one message to the other VMs
	rackUnreachableThreshold = 3                // unreachable backend servers that put the rest of their rack on probation
	rackUnreachableWindow    = 2 * time.Second  // within which they have to be found unreachable
	maxRackUnreachable       = 64               // unreachable backend servers remembered for a rack
)

// Quarantiner decides which backend servers get no work.
type Quarantiner struct {
	opts        Options
	suspects    map[identifier.BackendID]*suspect
	jobs        map[identifier.SubmissionID]*failedJob
	racks       map[identifier.BackendID]identifier.RackID
	unreachable map[identifier.RackID][]unreachableBackend
	sweepAt     time.Time
	pending     []peermessenger.TaskFailure // seen by this VM, not yet broadcast
	effects     []Effect
}

// New returns a Quarantiner that suspects no backend server.
func New(opts Options) *Quarantiner {
	return &Quarantiner{
		opts:        opts,
		suspects:    make(map[identifier.BackendID]*suspect),
		jobs:        make(map[identifier.SubmissionID]*failedJob),
		unreachable: make(map[identifier.RackID][]unreachableBackend),
	}
}

// Step applies an event and returns the effects that the caller has to carry out.
// The slice is valid until the next call.
func (q *Quarantiner) Step(now time.Time, e Event) []Effect {
	q.effects = q.effects[:0]
	switch e := e.(type) {
	case RacksChanged:
		q.setRacks(e.Racks)
	case TaskSucceeded:
		q.handleSuccess(e.Backend, now.Add(-e.RunTime))
	case TaskFailed:
		q.handleFailure(now, now.Add(-e.RunTime), e.Backend, e.Submission, true)
	case BackendUnreachable:
		q.handleUnreachable(now, e.Backend, e.Submission)
	case PeerMessage:
		q.handlePeerMessage(now, e)
	case Tick:
		q.tick(now)
	}
	return q.effects
}

// SuspectCount returns the number of backend servers that are quarantined or on
// probation.
func (q *Quarantiner) SuspectCount() int { return len(q.suspects) }

func (q *Quarantiner) handlePeerMessage(now time.Time, e PeerMessage) {
	m, ok := e.Message.(peermessenger.TasksFailed)
	if !ok {
		return
	}
	for _, f := range m.Failures {
		q.handleFailure(now, now, f.Backend, f.Submission, false)
	}
}

// setRacks replaces the list of racks. It drops the suspects that are no longer
// listed and the unreachable backend servers recorded so far.
func (q *Quarantiner) setRacks(racks map[identifier.BackendID]identifier.RackID) {
	q.racks = racks
	for id := range q.suspects {
		if _, ok := racks[id]; !ok {
			delete(q.suspects, id)
		}
	}
	clear(q.unreachable)
}

// handleSuccess releases a backend server: at once if a single job failed there,
// otherwise after some successful probes. A task that was started before the one
// that failed last is ignored, as it doesn't show that the server works again.
func (q *Quarantiner) handleSuccess(id identifier.BackendID, startedAt time.Time) {
	s, ok := q.suspects[id]
	if !ok || startedAt.Before(s.failedTaskStartedAt) {
		return
	}
	if s.phase == quarantined {
		if len(s.jobs) <= 1 && s.quarantines <= 1 {
			q.release(s)
		}
		return
	}
	s.successes++
	if s.successes >= neededSuccesses {
		q.release(s)
	}
}

func (q *Quarantiner) release(s *suspect) {
	delete(q.suspects, s.backend)
	q.effects = append(q.effects, LimitTasks{Backend: s.backend, Tasks: Unlimited})
}

// handleFailure records a failed task, which this VM has seen itself (local) or
// another one has reported.
func (q *Quarantiner) handleFailure(now, startedAt time.Time, id identifier.BackendID, job identifier.SubmissionID, local bool) {
	if q.racks != nil {
		if _, ok := q.racks[id]; !ok {
			return
		}
	}
	if q.recordFailedJob(now, id, job) {
		return
	}
	if local && len(q.pending) < maxPendingFailures {
		q.pending = append(q.pending, peermessenger.TaskFailure{Backend: id, Submission: job})
	}
	q.suspectBackend(now, id, job)
	if s, ok := q.suspects[id]; ok {
		s.failedTaskStartedAt = startedAt
	}
}

// recordFailedJob records where a job failed and reports whether it has failed on
// several backend servers. If so, its failure on the first one no longer counts
// against that server.
func (q *Quarantiner) recordFailedJob(now time.Time, id identifier.BackendID, job identifier.SubmissionID) bool {
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
	if s, ok := q.suspects[f.backend]; ok && s.removeFailedJob(job) {
		q.release(s)
	}
	return true
}

// suspectBackend counts a failed job against a backend server, and quarantines the
// server if the failure calls for it.
func (q *Quarantiner) suspectBackend(now time.Time, id identifier.BackendID, job identifier.SubmissionID) {
	s, ok := q.suspects[id]
	if !ok {
		if len(q.suspects) >= maxSuspects {
			return
		}
		s = &suspect{backend: id}
		q.suspects[id] = s
		s.addFailedJob(job)
		q.quarantine(now, s)
		return
	}
	added := s.addFailedJob(job)
	switch {
	case s.phase == probation:
		q.quarantine(now, s)
	case added && s.quarantines == 1 && len(s.jobs) > 1:
		q.quarantine(now, s) // a second job failed during the first quarantine
	case added && now.Sub(s.quarantinedAt) >= firstQuarantine:
		q.quarantine(now, s) // another VM's probe failed
	}
}

// quarantine quarantines a backend server, each time for longer.
func (q *Quarantiner) quarantine(now time.Time, s *suspect) {
	d := firstQuarantine
	for range s.quarantines {
		d = min(maxQuarantine, d*quarantineGrowth)
	}
	d += time.Duration(quarantineJitter * q.opts.Rand.Float64() * float64(d))
	s.quarantines++
	s.phase = quarantined
	s.quarantinedAt = now
	s.quarantinedUntil = now.Add(d)
	s.successes = 0
	q.effects = append(q.effects, LimitTasks{Backend: s.backend, Tasks: 0})
}

func (q *Quarantiner) tick(now time.Time) {
	for _, id := range q.dueForProbation(now) {
		s := q.suspects[id]
		s.phase = probation
		q.effects = append(q.effects, LimitTasks{Backend: id, Tasks: 1})
	}
	q.removeExpiredJobs(now)
	if len(q.pending) > 0 {
		q.effects = append(q.effects, Broadcast{Message: peermessenger.TasksFailed{Failures: q.pending}})
		q.pending = nil
	}
}

// removeExpiredJobs removes the jobs of which no task has failed within
// failedJobRetention. It does so once every sweepInterval.
func (q *Quarantiner) removeExpiredJobs(now time.Time) {
	if now.Before(q.sweepAt) {
		return
	}
	q.sweepAt = now.Add(sweepInterval)
	for job, f := range q.jobs {
		if now.Sub(f.failedAt) >= failedJobRetention {
			delete(q.jobs, job)
		}
	}
}

// dueForProbation returns the backend servers whose quarantine is over, in the
// order of their ids.
func (q *Quarantiner) dueForProbation(now time.Time) []identifier.BackendID {
	var ids []identifier.BackendID
	for id, s := range q.suspects {
		if s.phase == quarantined && !now.Before(s.quarantinedUntil) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b identifier.BackendID) int { return strings.Compare(string(a), string(b)) })
	return ids
}
