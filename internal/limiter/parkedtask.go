package limiter

import (
	"container/heap"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// parkedTask is a returned task that the retry budget holds back.
type parkedTask struct {
	job   *job
	index identifier.TaskIndex
}

// stale reports whether the task was dropped with its job in the meantime.
func (p parkedTask) stale() bool { return p.job.states[p.index] != taskParked }

func (l *Limiter) park(j *job, i identifier.TaskIndex) {
	j.states[i] = taskParked
	l.parked = append(l.parked, parkedTask{job: j, index: i})
}

// releaseParked puts parked tasks back into their jobs, in the order in which they
// were parked, as far as the retry budget allows.
func (l *Limiter) releaseParked(now time.Time) {
	l.retryBudget.refill(now)
	n := 0
	for ; n < len(l.parked); n++ {
		p := l.parked[n]
		if p.stale() {
			continue
		}
		if !l.retryBudget.allowsRetry() {
			break
		}
		l.retryBudget.countRetry()
		l.requeue(p.job, p.index)
	}
	l.parked = slices.Delete(l.parked, 0, n)
}

func (l *Limiter) requeue(j *job, i identifier.TaskIndex) {
	j.states[i] = taskQueued
	j.returned = append(j.returned, i)
	if j.position == notQueued {
		heap.Push(&j.queue.jobs, j)
	}
	l.updateReady(j.queue.team)
}

// dropStaleParked drops the parked tasks of removed jobs.
func (l *Limiter) dropStaleParked() {
	l.parked = slices.DeleteFunc(l.parked, parkedTask.stale)
}
