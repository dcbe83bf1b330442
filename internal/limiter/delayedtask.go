package limiter

import (
	"container/heap"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// delayedTask is a task whose start was refused and that the retry budget holds
// back.
type delayedTask struct {
	job   *job
	index identifier.TaskIndex
}

// stale reports whether the task was dropped with its job in the meantime.
func (p delayedTask) stale() bool { return p.job.states[p.index] != taskDelayed }

func (l *Limiter) delay(j *job, i identifier.TaskIndex) {
	j.states[i] = taskDelayed
	l.delayed = append(l.delayed, delayedTask{job: j, index: i})
}

// releaseDelayed requeues delayed tasks, in the order in which they were refused,
// as far as the retry budget allows.
func (l *Limiter) releaseDelayed(now time.Time) {
	l.retryBudget.refill(now)
	n := 0
	for ; n < len(l.delayed); n++ {
		p := l.delayed[n]
		if p.stale() {
			continue
		}
		if !l.retryBudget.allowsRetry() {
			break
		}
		l.retryBudget.countRetry()
		l.requeue(p.job, p.index)
	}
	l.delayed = slices.Delete(l.delayed, 0, n)
}

func (l *Limiter) requeue(j *job, i identifier.TaskIndex) {
	j.states[i] = taskQueued
	j.requeued = append(j.requeued, i)
	if j.position == notQueued {
		heap.Push(&j.queue.jobs, j)
	}
	l.updateReady(j.queue.team)
}

// dropStaleDelayed drops the delayed tasks of removed jobs.
func (l *Limiter) dropStaleDelayed() {
	l.delayed = slices.DeleteFunc(l.delayed, delayedTask.stale)
}
