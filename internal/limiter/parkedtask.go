package limiter

import (
	"container/heap"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// parkedTask is a returned task that the budget of repeated starts holds back.
type parkedTask struct {
	job   *job
	index identifier.TaskIndex
}

// stale reports whether the task was dropped with its job meanwhile.
func (p parkedTask) stale() bool { return p.job.states[p.index] != taskParked }

func (l *Limiter) park(j *job, i identifier.TaskIndex) {
	j.states[i] = taskParked
	l.parked = append(l.parked, parkedTask{job: j, index: i})
}

// releaseParked moves parked tasks back to their jobs' queues, the one parked
// first going first, as far as the budget allows.
func (l *Limiter) releaseParked(now time.Time) {
	l.retries.refill(now)
	n := 0
	for ; n < len(l.parked); n++ {
		p := l.parked[n]
		if p.stale() {
			continue
		}
		if !l.retries.allows() {
			break
		}
		l.retries.countRetry()
		l.requeue(p.job, p.index)
	}
	l.parked = slices.Delete(l.parked, 0, n)
}

func (l *Limiter) requeue(j *job, i identifier.TaskIndex) {
	j.states[i] = taskQueued
	j.returned = append(j.returned, i)
	if j.position == notQueued {
		heap.Push(&j.lane.jobs, j)
	}
	l.reorder(j.lane.team)
}

// dropStale forgets the parked tasks of removed jobs.
func (l *Limiter) dropStale() {
	l.parked = slices.DeleteFunc(l.parked, parkedTask.stale)
}
