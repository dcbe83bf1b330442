package limiter

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
)

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// unreservedFraction is the part of Options.MaxTasks that all teams may fill. The
	// rest is reserved for teams whose queued tasks are within their share.
	unreservedFraction = 0.75
)

// Admit queues a job and returns nil, or returns why the job is refused.
func (l *Limiter) Admit(now time.Time, r Request) *Refusal {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if _, ok := l.jobs[r.Submission]; ok {
		return &Refusal{Cause: declarer.BadRequest, Detail: "the submission is already queued"}
	}
	pq := l.queue(queueKey{team: r.Team, profile: r.Profile})
	if pq == nil {
		return l.newRefusal(declarer.QueueFull, "too many teams and profiles are in use at once")
	}
	l.setQuota(now, pq, r.Quota)
	work := totalWork(r.Tasks)
	if refusal := l.checkQueue(&r, pq); refusal != nil {
		return refusal
	}
	if refusal := l.checkDeadline(now, &r, pq, work); refusal != nil {
		return refusal
	}
	l.enqueue(now, &r, pq, work)
	return nil
}

func (l *Limiter) enqueue(now time.Time, r *Request, pq *profileQueue, work time.Duration) {
	j := newJob(r, pq, now.Add(-time.Duration(r.Priority)*priorityBoost).UnixNano())
	if j.unfinishedTasks == 0 {
		return
	}
	l.jobs[j.submission] = j
	pq.unfinishedJobs++
	l.setWeight(pq.team, r.Weight)
	l.addQueued(j, len(j.tasks), work)
	l.activate(pq.team)
	heap.Push(&pq.jobs, j)
	l.updateReady(pq.team)
}

// queue returns the queue of a team and a profile, or nil when there are too
// many queues.
func (l *Limiter) queue(key queueKey) *profileQueue {
	if pq, ok := l.queues[key]; ok {
		return pq
	}
	if len(l.queues) >= l.opts.MaxQueues {
		l.evictIdle()
	}
	if len(l.queues) >= l.opts.MaxQueues {
		return nil
	}
	t, ok := l.teams[key.team]
	if !ok {
		t = &team{name: key.team, weight: 1, virtualTime: l.virtualTime, position: notQueued}
		l.teams[key.team] = t
	}
	pq := &profileQueue{key: key, team: t}
	l.queues[key] = pq
	t.queues = append(t.queues, pq)
	return pq
}

func (l *Limiter) setWeight(t *team, weight float64) {
	if t.active {
		l.activeWeight += weight - t.weight
	}
	t.weight = weight
}

// addQueued adds to the counts of queued tasks; negative numbers subtract.
func (l *Limiter) addQueued(j *job, tasks int, work time.Duration) {
	l.queued += tasks
	l.queuedWork += work
	j.queue.queued += tasks
	j.queue.queuedWork += work
	j.queue.team.queued += tasks
	j.queue.team.queuedWork += work
}

// checkQueue refuses a job that the queues have no room for.
func (l *Limiter) checkQueue(r *Request, pq *profileQueue) *Refusal {
	n := len(r.Tasks)
	if r.QueueBound > 0 && pq.queued+n > r.QueueBound {
		return l.newRefusal(declarer.QueueFull, fmt.Sprintf("the team's queue under the profile holds %d tasks of at most %d", pq.queued, r.QueueBound))
	}
	if l.queued+n > l.opts.MaxTasks {
		return l.newRefusal(declarer.QueueFull, "the queue of all teams is full")
	}
	unreserved := int(unreservedFraction * float64(l.opts.MaxTasks))
	share := l.opts.MaxTasks / (1 + l.activeTeams)
	if l.queued+n > unreserved && pq.team.queued+n > share {
		return l.newRefusal(declarer.QueueFull, "the queue is nearly full, and the team has more than its share of it")
	}
	return nil
}

// checkDeadline refuses a job that is not expected to end before its deadline.
func (l *Limiter) checkDeadline(now time.Time, r *Request, pq *profileQueue, work time.Duration) *Refusal {
	if l.capacity <= 0 {
		return l.newRefusal(declarer.NoCapacity, "no backend server takes work now")
	}
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(now)
	longest := longestTask(r.Tasks)
	if minTime := max(longest, drainTime(work, float64(l.capacity))); minTime > left {
		return &Refusal{
			Cause:  declarer.DeadlineTooShort,
			Detail: fmt.Sprintf("the job takes %v even when nothing waits, and %v are left", minTime.Round(time.Millisecond), left.Round(time.Millisecond)),
		}
	}
	if pq.quota > 0 && pq.expectedQuotaWait(work/time.Duration(max(1, len(r.Tasks))))+max(longest, drainTime(work, pq.attainable())) > left {
		return l.newRefusal(declarer.OverQuota, "the team's quota under the profile does not let the job end in time")
	}
	if wait := l.expectedWait(pq, r.Weight); wait+max(longest, drainTime(work, l.attainable())) > left {
		return l.newRefusal(declarer.NoCapacity, fmt.Sprintf("the queue takes %v", wait.Round(time.Millisecond)))
	}
	return nil
}

// attainable is the number of slots that this entry VM can expect to use at
// once. Queued tasks show that it already uses what it can get; without any, it
// may get the whole capacity.
func (l *Limiter) attainable() float64 {
	if l.queued == 0 {
		return float64(l.capacity)
	}
	return max(1, float64(l.capacity)/float64(l.memberCount), float64(l.running))
}

// attainable is the number of slots that the queue's tasks can expect to use at
// once on this VM. Queued tasks show that this VM already has the share that it
// can get; without any, it may get the whole quota.
func (pq *profileQueue) attainable() float64 {
	if pq.queued == 0 {
		return float64(pq.quota)
	}
	return float64(max(1, pq.share.allowed, pq.running))
}

// expectedQuotaWait is the expected time until the quota lets the first task of
// a new job run: the time for the queued tasks and half of the time for the
// running ones, which take mean each.
func (pq *profileQueue) expectedQuotaWait(mean time.Duration) time.Duration {
	if pq.queued == 0 {
		return 0
	}
	return drainTime(pq.queuedWork+time.Duration(pq.running)*mean/2, pq.attainable())
}

// expectedWait is the expected time until the first task of a new job is
// dispatched: the time to serve all queued tasks, or the team's own queued tasks
// with its share of the slots, whichever is less.
func (l *Limiter) expectedWait(pq *profileQueue, weight float64) time.Duration {
	slots := l.attainable()
	allQueues := drainTime(l.queuedWork, slots)
	otherWeight := l.activeWeight
	if pq.team.active {
		otherWeight -= pq.team.weight
	}
	ownQueue := drainTime(pq.team.queuedWork, slots*weight/(weight+max(0, otherWeight)))
	return min(allQueues, ownQueue)
}

// newRefusal returns a refusal. Its random RetryAfter spreads the retries over
// the time that the queue takes to drain.
func (l *Limiter) newRefusal(cause declarer.RefusalCause, detail string) *Refusal {
	drain := max(minRetryAfter, drainTime(l.queuedWork, l.attainable()))
	spread := time.Duration((0.5 + l.opts.Rand.Float64()) * float64(drain))
	return &Refusal{Cause: cause, Detail: detail, RetryAfter: min(maxRetryAfter, max(minRetryAfter, spread))}
}

func totalWork(tasks []TaskEstimate) time.Duration {
	var total time.Duration
	for _, t := range tasks {
		total += t.ExpectedTime
	}
	return total
}

func longestTask(tasks []TaskEstimate) time.Duration {
	var longest time.Duration
	for _, t := range tasks {
		longest = max(longest, t.ExpectedTime)
	}
	return longest
}

// drainTime is the time that work takes on a number of slots.
func drainTime(work time.Duration, slots float64) time.Duration {
	return time.Duration(float64(work) / max(1, slots))
}
