package limiter

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// NextTasks takes up to limit tasks from the queues, in fair order, and charges
// their expected time to their teams.
func (l *Limiter) NextTasks(now time.Time, limit int) []identifier.TaskRef {
	l.releaseDelayed(now)
	var refs []identifier.TaskRef
	for len(refs) < limit && len(l.ready) > 0 {
		refs = append(refs, l.dispatch(l.ready[0].nextQueue()))
	}
	return refs
}

// dispatch takes a task from the queue's first job.
func (l *Limiter) dispatch(pq *profileQueue) identifier.TaskRef {
	j := pq.jobs[0]
	t := pq.team
	firstStart := len(j.requeued) == 0
	i := j.pop()
	if firstStart {
		l.retryBudget.countStart(cmp.Or(j.retryFraction, l.opts.RetryFraction))
	}
	j.states[i] = taskDispatched
	l.virtualTime = max(l.virtualTime, t.virtualTime)
	l.addQueued(j, -1, -j.expectedTime(i))
	l.addRunning(j, i, 1)
	t.charge(j.expectedTime(i), j.weight)
	if j.readyTasks() == 0 {
		heap.Remove(&pq.jobs, j.position)
	}
	l.updateReady(t)
	return identifier.TaskRef{Submission: j.submission, Index: i}
}

// addRunning counts n dispatched tasks like the given one; a negative n counts
// their end.
func (l *Limiter) addRunning(j *job, i identifier.TaskIndex, n identifier.Slots) {
	l.running += n
	l.runningWork += time.Duration(n) * j.expectedTime(i)
	j.queue.running += n
	j.queue.team.running += n
}

// EndTask records that a dispatched task ended, with or without success. It
// corrects the team's charge to the time for which the task held its slot.
func (l *Limiter) EndTask(_ time.Time, ref identifier.TaskRef, runTime time.Duration) {
	j := l.dispatched(ref)
	if j == nil {
		return
	}
	l.addRunning(j, ref.Index, -1)
	j.queue.team.charge(runTime-j.expectedTime(ref.Index), j.weight)
	l.markEnded(j, ref.Index)
}

func (l *Limiter) markEnded(j *job, i identifier.TaskIndex) {
	j.states[i] = taskEnded
	j.unfinishedTasks--
	l.dropIfEnded(j)
	l.deactivateIdle(j.queue.team)
	l.updateReady(j.queue.team)
}

// dropIfEnded drops a job whose tasks have all ended.
func (l *Limiter) dropIfEnded(j *job) {
	if j.unfinishedTasks > 0 {
		return
	}
	delete(l.jobs, j.submission)
	j.queue.unfinishedJobs--
}

// RemoveJob drops the queued tasks of a job and returns them. Dispatched tasks stay
// counted and charged until EndTask, RequeueRefused or RequeueUnplaced.
func (l *Limiter) RemoveJob(_ time.Time, submission identifier.SubmissionID) []identifier.TaskIndex {
	j, ok := l.jobs[submission]
	if !ok || j.removed {
		return nil
	}
	dropped := j.dropQueued()
	l.dropStaleDelayed()
	for _, i := range dropped {
		l.addQueued(j, -1, -j.expectedTime(i))
	}
	if j.position != notQueued {
		heap.Remove(&j.queue.jobs, j.position)
	}
	l.dropIfEnded(j)
	l.deactivateIdle(j.queue.team)
	l.updateReady(j.queue.team)
	return dropped
}

// dispatched returns the job of a task that is dispatched, or nil when it is not.
func (l *Limiter) dispatched(ref identifier.TaskRef) *job {
	j, ok := l.jobs[ref.Submission]
	if !ok || int(ref.Index) >= len(j.states) || j.states[ref.Index] != taskDispatched {
		return nil
	}
	return j
}
