package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Return puts a dispatched task that was not started back to the front of its
// job, as soon as the budget of repeated starts allows. It reports false when
// the job was removed: then the task has ended without a start.
func (l *Limiter) Return(now time.Time, ref identifier.TaskRef) bool {
	j := l.takeBack(ref)
	if j == nil {
		return false
	}
	l.park(j, ref.Index)
	l.releaseParked(now)
	l.reorder(j.lane.team)
	return true
}

// Unplace puts a dispatched task for which there was no place back to the front
// of its job. Unlike Return it does not count as a repeated start, since no
// start was tried. It reports false when the job was removed.
func (l *Limiter) Unplace(ref identifier.TaskRef) bool {
	j := l.takeBack(ref)
	if j == nil {
		return false
	}
	l.requeue(j, ref.Index)
	return true
}

// takeBack takes back the dispatch of a task. It returns nil when the task was
// not dispatched, or when its job was removed: then the task has ended.
func (l *Limiter) takeBack(ref identifier.TaskRef) *job {
	j := l.dispatched(ref)
	if j == nil {
		return nil
	}
	l.addRunning(j, ref.Index, -1)
	j.lane.team.charge(-j.expected(ref.Index), j.weight)
	if j.removed {
		l.endTask(j, ref.Index)
		return nil
	}
	l.addQueued(j, 1, j.expected(ref.Index))
	return j
}
