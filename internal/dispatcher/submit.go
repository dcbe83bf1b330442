package dispatcher

import (
	"container/heap"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/limiter"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// submit takes a submission: it goes to its home, and there it joins the
// running job, gets the kept ending or becomes a new job.
func (m *Machine) submit(now time.Time, r requester, job declarer.Job, wait bool, hops uint8) {
	if j, ok := m.jobs[job.Submission]; ok {
		m.join(r, j, job, wait)
		return
	}
	home, denial := m.home(job.Submission, job.CreatedAt)
	if denial != nil {
		m.observeUnanswered(job, 0, denial)
		m.replyEnding(r, denial)
		return
	}
	if home != m.opts.Self {
		m.forwardTo(now, r, home, hops, peermessenger.SubmitJob{Job: job, Wait: wait, Hops: hops + 1})
		return
	}
	m.opts.Counters.JobsSubmitted.Add(1)
	j := newRunningJob(now, job, hops)
	m.jobs[job.Submission] = j
	m.addWaiter(r, j, time.Time{}, wait)
	m.askClaim(now, j)
}

// join adds a resubmission to the running job.
func (m *Machine) join(r requester, j *runningJob, job declarer.Job, wait bool) {
	m.opts.Counters.JobsJoined.Add(1)
	if digest(job) != j.digest || job.Team != j.job.Team {
		m.replyEnding(r, bodyMismatch())
		return
	}
	if !wait && j.admitted {
		m.reply(r, j.status())
		return
	}
	m.addWaiter(r, j, time.Time{}, wait)
}

func bodyMismatch() declarer.Ending {
	return declarer.Unverifiable{
		Cause:  declarer.BodyMismatch,
		Detail: "the submission id was used with another body; this attempt started nothing",
	}
}

// start queues the tasks of a job whose claim was granted, or refuses it.
func (m *Machine) start(now time.Time, j *runningJob) {
	if j.cancelled {
		m.cancelJob(now, j)
		return
	}
	if refused := m.check(now, j); refused != nil {
		m.end(now, j, *refused)
		return
	}
	if refusal := m.limiter.Admit(now, m.admission(j)); refusal != nil {
		m.end(now, j, declarer.Refused{Cause: refusal.Cause, Detail: refusal.Detail, RetryAfter: refusal.RetryAfter})
		return
	}
	j.admitted = true
	heap.Push(&m.deadlines, deadline{at: j.deadline, submission: j.job.Submission})
	m.releaseAdmitted(j)
	m.pump(now)
}

// admission returns what the limiter needs to know of a job.
func (m *Machine) admission(j *runningJob) limiter.Request {
	needs := make([]limiter.TaskNeed, len(j.job.Tasks))
	for i, t := range j.job.Tasks {
		expected, _ := m.estimator.Estimate(j.job.Profile, t.RunTime)
		needs[i] = limiter.TaskNeed{Expected: expected}
	}
	return limiter.Request{
		Submission: j.job.Submission,
		Team:       j.job.Team,
		Profile:    j.job.Profile,
		Weight:     float64(j.profile.Weight),
		Priority:   j.profile.Priority,
		Quota:      m.quota(j),
		QueueBound: j.profile.QueueBound,

		RetryFraction: j.profile.RetryBudget,
		Tasks:         needs,
		Deadline:      j.deadline,
	}
}

// quota returns the bound on the team's running tasks; 0 when the quota is not
// below the slots of all listed backend servers, which bound them anyhow. So a
// quota that can't bind is not split between entry VMs.
func (m *Machine) quota(j *runningJob) identifier.Slots {
	quota := j.profile.Quota(j.job.Team)
	if quota >= m.listedSlots {
		return 0
	}
	return quota
}

// releaseAdmitted answers the requesters that wait for the admission alone.
func (m *Machine) releaseAdmitted(j *runningJob) {
	kept := j.waiters[:0]
	for _, w := range j.waiters {
		if w.ending {
			kept = append(kept, w)
			continue
		}
		m.reply(w.requester, j.status())
	}
	j.waiters = kept
}

func (m *Machine) addWaiter(r requester, j *runningJob, until time.Time, ending bool) {
	if len(j.waiters) >= maxWaiters {
		m.reply(r, j.status())
		return
	}
	j.waiters = append(j.waiters, waiter{requester: r, until: until, ending: ending})
}

// dropWaiter forgets a caller that hung up. The job goes on.
func (m *Machine) dropWaiter(e RequestGone) {
	caller := localCaller{e.Request}
	m.dropForward(caller)
	j, ok := m.jobs[e.Submission]
	if !ok {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool { return isFrom(w.requester, caller) })
}
