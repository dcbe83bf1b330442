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

// submit handles a submission. Away from its home it is forwarded; at its home it
// joins the active job, is answered with the recorded ending or becomes a new
// job.
func (m *Machine) submit(now time.Time, r requester, job declarer.Job, wait bool, hops uint8) {
	if j, ok := m.jobs[job.Submission]; ok {
		m.join(r, j, job, wait)
		return
	}
	next, denial := m.nextHop(job.Submission, job.CreatedAt)
	if denial != nil {
		m.reportUnservedJob(job, 0, denial)
		m.replyEnding(r, denial)
		return
	}
	if next != m.opts.Self {
		m.forwardTo(now, r, next, hops, peermessenger.SubmitJob{Job: job, Wait: wait, Hops: hops + 1})
		return
	}
	m.opts.Counters.JobsSubmitted.Add(1)
	j := newActiveJob(now, job, hops)
	m.jobs[job.Submission] = j
	m.addWaiter(r, j, time.Time{}, wait)
	m.requestClaim(now, j)
}

// join attaches a resubmission to the active job.
func (m *Machine) join(r requester, j *activeJob, job declarer.Job, wait bool) {
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

// admitJob queues the tasks of a job whose claim was granted, or refuses it.
func (m *Machine) admitJob(now time.Time, j *activeJob) {
	if j.cancelled {
		m.cancelJob(now, j)
		return
	}
	if refused := m.applyProfile(now, j); refused != nil {
		m.endJob(now, j, *refused)
		return
	}
	if refusal := m.limiter.Admit(now, m.admissionRequest(j)); refusal != nil {
		m.endJob(now, j, declarer.Refused{Cause: refusal.Cause, Detail: refusal.Detail, RetryAfter: refusal.RetryAfter})
		return
	}
	j.admitted = true
	heap.Push(&m.deadlines, deadline{at: j.deadline, submission: j.job.Submission})
	m.replyAdmitted(j)
	m.startQueued(now)
}

// admissionRequest returns what the limiter needs to know about a job.
func (m *Machine) admissionRequest(j *activeJob) limiter.Request {
	estimates := make([]limiter.TaskEstimate, len(j.job.Tasks))
	for i, t := range j.job.Tasks {
		expected, _ := m.estimator.Estimate(j.job.Profile, t.RunTime)
		estimates[i] = limiter.TaskEstimate{ExpectedTime: expected}
	}
	return limiter.Request{
		Submission: j.job.Submission,
		Team:       j.job.Team,
		Profile:    j.job.Profile,
		Weight:     float64(j.profile.Weight),
		Priority:   j.profile.Priority,
		Quota:      m.quota(j),
		QueueBound: j.profile.QueueBound,

		RetryFraction: j.profile.RetryFraction,
		Tasks:         estimates,
		Deadline:      j.deadline,
	}
}

// quota returns the bound on the team's running tasks. It is 0, for no bound, when
// the quota is not below the slots of all listed backend servers, which bound the
// tasks anyway: so the limiter doesn't split a quota that has no effect between
// entry VMs.
func (m *Machine) quota(j *activeJob) identifier.Slots {
	quota := j.profile.Quota(j.job.Team)
	if quota >= m.listedSlots {
		return 0
	}
	return quota
}

// replyAdmitted answers the requesters that wait only for the admission.
func (m *Machine) replyAdmitted(j *activeJob) {
	remaining := j.waiters[:0]
	for _, w := range j.waiters {
		if w.forEnding {
			remaining = append(remaining, w)
			continue
		}
		m.reply(w.requester, j.status())
	}
	j.waiters = remaining
}

func (m *Machine) addWaiter(r requester, j *activeJob, until time.Time, forEnding bool) {
	if len(j.waiters) >= maxWaiters {
		m.reply(r, j.status())
		return
	}
	j.waiters = append(j.waiters, waiter{requester: r, until: until, forEnding: forEnding})
}

// dropWaiter removes a caller that has disconnected. The job continues.
func (m *Machine) dropWaiter(e RequestAbandoned) {
	caller := localCaller{e.Request}
	m.dropForward(caller)
	j, ok := m.jobs[e.Submission]
	if !ok {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool { return isSameCaller(w.requester, caller) })
}
