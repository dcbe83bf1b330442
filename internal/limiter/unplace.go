package limiter

import "github.com/peppertrack/peppertrack/internal/identifier"

// Unplace puts a dispatched task for which there was no place back to the front
// of its job. Unlike Return it does not count as a repeated start, since no
// start was tried. It reports false when the job was removed.
func (l *Limiter) Unplace(ref identifier.TaskRef) bool {
	j := l.dispatched(ref)
	if j == nil {
		return false
	}
	l.addRunning(j, ref.Index, -1)
	j.lane.team.charge(-j.expected(ref.Index), j.weight)
	if j.removed {
		l.endTask(j, ref.Index)
		return false
	}
	l.addQueued(j, 1, j.expected(ref.Index))
	l.requeue(j, ref.Index)
	return true
}
