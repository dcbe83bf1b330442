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

	// shedFraction of the queue's bound is open to all teams. The rest is kept
	// for teams whose queued tasks are within their share.
	shedFraction = 0.75
)

// Admit queues a job, or says why it is refused.
func (l *Limiter) Admit(now time.Time, r Request) *Refusal {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if _, ok := l.jobs[r.Submission]; ok {
		return &Refusal{Cause: declarer.BadRequest, Detail: "the submission is already queued"}
	}
	ln := l.lane(laneKey{team: r.Team, profile: r.Profile})
	if ln == nil {
		return l.refuse(declarer.QueueFull, "too many teams and profiles are in use at once")
	}
	l.setQuota(now, ln, r.Quota)
	work := totalWork(r.Tasks)
	if refusal := l.checkQueue(&r, ln); refusal != nil {
		return refusal
	}
	if refusal := l.checkDeadline(now, &r, ln, work); refusal != nil {
		return refusal
	}
	l.enqueue(now, &r, ln, work)
	return nil
}

func (l *Limiter) enqueue(now time.Time, r *Request, ln *lane, work time.Duration) {
	j := newJob(r, ln, now.Add(-time.Duration(r.Priority)*priorityLead).UnixNano())
	if j.open == 0 {
		return
	}
	l.jobs[j.submission] = j
	ln.open++
	l.setWeight(ln.team, r.Weight)
	l.addQueued(j, len(j.needs), work)
	l.activate(ln.team)
	heap.Push(&ln.jobs, j)
	l.reorder(ln.team)
}

// lane returns the lane of a team and a profile, or nil when there are too many.
func (l *Limiter) lane(key laneKey) *lane {
	if ln, ok := l.lanes[key]; ok {
		return ln
	}
	if len(l.lanes) >= l.opts.MaxLanes {
		l.forgetIdle()
	}
	if len(l.lanes) >= l.opts.MaxLanes {
		return nil
	}
	t, ok := l.teams[key.team]
	if !ok {
		t = &team{name: key.team, weight: 1, virtual: l.virtual, position: notQueued}
		l.teams[key.team] = t
	}
	ln := &lane{key: key, team: t}
	l.lanes[key] = ln
	t.lanes = append(t.lanes, ln)
	return ln
}

func (l *Limiter) setWeight(t *team, weight float64) {
	if t.active {
		l.weights += weight - t.weight
	}
	t.weight = weight
}

// addQueued counts tasks that enter the queue, or leave it when negative.
func (l *Limiter) addQueued(j *job, tasks int, work time.Duration) {
	l.queued += tasks
	l.queuedWork += work
	j.lane.queued += tasks
	j.lane.queuedWork += work
	j.lane.team.queued += tasks
	j.lane.team.queuedWork += work
}

// checkQueue refuses a job for which the queues have no room.
func (l *Limiter) checkQueue(r *Request, ln *lane) *Refusal {
	n := len(r.Tasks)
	if r.QueueBound > 0 && ln.queued+n > r.QueueBound {
		return l.refuse(declarer.QueueFull, fmt.Sprintf("the team's queue under the profile holds %d tasks of at most %d", ln.queued, r.QueueBound))
	}
	if l.queued+n > l.opts.MaxTasks {
		return l.refuse(declarer.QueueFull, "the queue of all teams is full")
	}
	open := int(shedFraction * float64(l.opts.MaxTasks))
	share := l.opts.MaxTasks / (1 + l.active)
	if l.queued+n > open && ln.team.queued+n > share {
		return l.refuse(declarer.QueueFull, "the queue is nearly full, and the team has more than its share of it")
	}
	return nil
}

// checkDeadline refuses a job that can't be expected to end in time.
func (l *Limiter) checkDeadline(now time.Time, r *Request, ln *lane, work time.Duration) *Refusal {
	if l.capacity <= 0 {
		return l.refuse(declarer.NoCapacity, "no backend server takes work now")
	}
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(now)
	longest := longestTask(r.Tasks)
	if least := max(longest, perSlot(work, float64(l.capacity))); least > left {
		return &Refusal{
			Cause:  declarer.DeadlineTooShort,
			Detail: fmt.Sprintf("the job takes %v even when nothing waits, and %v are left", least.Round(time.Millisecond), left.Round(time.Millisecond)),
		}
	}
	if ln.quota > 0 && ln.wait(work/time.Duration(max(1, len(r.Tasks))))+max(longest, perSlot(work, ln.attainable())) > left {
		return l.refuse(declarer.OverQuota, "the team's quota under the profile does not let the job end in time")
	}
	if wait := l.wait(ln, r.Weight); wait+max(longest, perSlot(work, l.attainable())) > left {
		return l.refuse(declarer.NoCapacity, fmt.Sprintf("the queue takes %v", wait.Round(time.Millisecond)))
	}
	return nil
}

// attainable is the number of slots that this entry VM can expect to hold at
// once. Tasks that wait show that it has what it can get; else all are open to it.
func (l *Limiter) attainable() float64 {
	if l.queued == 0 {
		return float64(l.capacity)
	}
	return max(1, float64(l.capacity)/float64(l.members), float64(l.running))
}

// attainable is the number of slots that the lane can expect to hold at once on
// this VM. Tasks that wait show that it has what it can get of its quota; else
// all of the quota is open to it.
func (l *lane) attainable() float64 {
	if l.queued == 0 {
		return float64(l.quota)
	}
	return float64(max(1, l.share.allowed, l.running))
}

// wait is the expected time until the quota lets the first task of a new job
// run: that of the queue, and half of that of the running tasks.
func (l *lane) wait(mean time.Duration) time.Duration {
	if l.queued == 0 {
		return 0
	}
	return perSlot(l.queuedWork+time.Duration(l.running)*mean/2, l.attainable())
}

// wait is the expected time until the first task of a new job is dispatched:
// the lesser one of serving all that is queued and of the team's own queue at
// its share of the slots.
func (l *Limiter) wait(ln *lane, weight float64) time.Duration {
	slots := l.attainable()
	all := perSlot(l.queuedWork, slots)
	others := l.weights
	if ln.team.active {
		others -= ln.team.weight
	}
	own := perSlot(ln.team.queuedWork, slots*weight/(weight+max(0, others)))
	return min(all, own)
}

// refuse returns a refusal with a time to come back that spreads the returns
// over the time that the queue takes.
func (l *Limiter) refuse(cause declarer.RefusalCause, detail string) *Refusal {
	drain := max(minRetryAfter, perSlot(l.queuedWork, l.attainable()))
	spread := time.Duration((0.5 + l.opts.Rand.Float64()) * float64(drain))
	return &Refusal{Cause: cause, Detail: detail, RetryAfter: min(maxRetryAfter, max(minRetryAfter, spread))}
}

func totalWork(tasks []TaskNeed) time.Duration {
	var total time.Duration
	for _, t := range tasks {
		total += t.Expected
	}
	return total
}

func longestTask(tasks []TaskNeed) time.Duration {
	var longest time.Duration
	for _, t := range tasks {
		longest = max(longest, t.Expected)
	}
	return longest
}

// perSlot is the time that work takes on a number of slots.
func perSlot(work time.Duration, slots float64) time.Duration {
	return time.Duration(float64(work) / max(1, slots))
}
