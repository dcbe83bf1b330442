package limiter

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Next takes up to most tasks from the queue, in fair order, and charges them
// to their teams.
func (l *Limiter) Next(now time.Time, most int) []identifier.TaskRef {
	l.releaseParked(now)
	var refs []identifier.TaskRef
	for len(refs) < most && len(l.ready) > 0 {
		refs = append(refs, l.dispatch(l.ready[0].first()))
	}
	return refs
}

// dispatch takes a task of the lane's first job.
func (l *Limiter) dispatch(ln *lane) identifier.TaskRef {
	j := ln.jobs[0]
	t := ln.team
	fresh := len(j.returned) == 0
	i := j.pop()
	if fresh {
		l.retries.countStart(cmp.Or(j.retries, l.opts.RetryFraction))
	}
	j.states[i] = taskDispatched
	l.virtual = max(l.virtual, t.virtual)
	l.addQueued(j, -1, -j.expected(i))
	l.addRunning(j, i, 1)
	t.charge(j.expected(i), j.weight)
	if j.waiting() == 0 {
		heap.Remove(&ln.jobs, j.position)
	}
	l.reorder(t)
	return identifier.TaskRef{Submission: j.submission, Index: i}
}

// addRunning counts a dispatched task, or its end when n is negative.
func (l *Limiter) addRunning(j *job, i identifier.TaskIndex, n identifier.Slots) {
	l.running += n
	l.runWork += time.Duration(n) * j.expected(i)
	j.lane.running += n
	j.lane.team.running += n
}

// Ended settles a dispatched task that ended, with or without success. It
// corrects the charge to the time for which the task held its slot.
func (l *Limiter) Ended(_ time.Time, ref identifier.TaskRef, runTime time.Duration) {
	j := l.dispatched(ref)
	if j == nil {
		return
	}
	l.addRunning(j, ref.Index, -1)
	j.lane.team.charge(runTime-j.expected(ref.Index), j.weight)
	l.endTask(j, ref.Index)
}

func (l *Limiter) endTask(j *job, i identifier.TaskIndex) {
	j.states[i] = taskEnded
	j.open--
	l.finish(j)
	l.settle(j.lane.team)
	l.reorder(j.lane.team)
}

// finish forgets a job whose tasks have all ended.
func (l *Limiter) finish(j *job) {
	if j.open > 0 {
		return
	}
	delete(l.jobs, j.submission)
	j.lane.open--
}

// Remove drops the queued tasks of a job and returns them. Tasks that were
// dispatched stay charged until Ended or Return.
func (l *Limiter) Remove(_ time.Time, submission identifier.SubmissionID) []identifier.TaskIndex {
	j, ok := l.jobs[submission]
	if !ok || j.removed {
		return nil
	}
	dropped := j.dropQueued()
	l.dropStale()
	for _, i := range dropped {
		l.addQueued(j, -1, -j.expected(i))
	}
	if j.position != notQueued {
		heap.Remove(&j.lane.jobs, j.position)
	}
	l.finish(j)
	l.settle(j.lane.team)
	l.reorder(j.lane.team)
	return dropped
}

// dispatched returns the job of a task that is dispatched, or nil.
func (l *Limiter) dispatched(ref identifier.TaskRef) *job {
	j, ok := l.jobs[ref.Submission]
	if !ok || int(ref.Index) >= len(j.states) || j.states[ref.Index] != taskDispatched {
		return nil
	}
	return j
}
