package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// RequeueRefused puts a dispatched task whose start was refused back to the front
// of its job, as soon as the retry budget allows. It reports false when the task
// was not dispatched, or when its job was removed: then the task has ended without
// a start.
func (l *Limiter) RequeueRefused(now time.Time, ref identifier.TaskRef) bool {
	j := l.undoDispatch(ref)
	if j == nil {
		return false
	}
	l.delay(j, ref.Index)
	l.releaseDelayed(now)
	l.updateReady(j.queue.team)
	return true
}

// RequeueUnplaced puts a dispatched task for which there was no place back to the
// front of its job. Unlike RequeueRefused, it does not use the retry budget, since
// no start was tried. It reports false in the same cases.
func (l *Limiter) RequeueUnplaced(ref identifier.TaskRef) bool {
	j := l.undoDispatch(ref)
	if j == nil {
		return false
	}
	l.requeue(j, ref.Index)
	return true
}

// undoDispatch returns the job of a dispatched task, after counting the task as
// queued again and refunding its charge. It returns nil when the task was not
// dispatched, or when its job was removed: then the task has ended.
func (l *Limiter) undoDispatch(ref identifier.TaskRef) *job {
	j := l.dispatched(ref)
	if j == nil {
		return nil
	}
	l.addRunning(j, ref.Index, -1)
	j.queue.team.charge(-j.expectedTime(ref.Index), j.weight)
	if j.removed {
		l.markEnded(j, ref.Index)
		return nil
	}
	l.addQueued(j, 1, j.expectedTime(ref.Index))
	return j
}
