package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// taskState is the state of a task of an active job.
type taskState uint8

const (
	taskQueued taskState = iota
	taskRunning
	taskSucceeded
	taskFailed
	taskOutcomeUnknown // may have started; whether and how it ended is unknown
)

// activeJob is a job that this entry VM has accepted as the home of its submission
// and that has not ended: it waits for its claim, waits in the queue, or runs.
type activeJob struct {
	job            declarer.Job
	profile        profileparser.Profile
	digest         identifier.Digest
	arrived        time.Time
	deadline       time.Time
	unrepeatable   bool
	hops           uint8 // how often the request was forwarded on its way here
	claimed        bool  // whether its claim was granted to this VM
	admitted       bool  // whether the limiter has admitted it
	cancelled      bool  // whether it was cancelled before its claim was granted
	waiters        []waiter
	states         []taskState
	backends       []identifier.BackendID // where the running tasks run, by task
	outputs        [][]byte
	endedTasks     int
	longestRunTime time.Duration // of the tasks that have ended
	policy         placer.Policy
	goal           placer.Goal
	requiredDomain identifier.FailureDomain // the only failure domain where its tasks may run; empty: any
}

func newActiveJob(now time.Time, job declarer.Job, hops uint8) *activeJob {
	return &activeJob{
		job:      job,
		digest:   digest(job),
		hops:     hops,
		arrived:  now,
		states:   make([]taskState, len(job.Tasks)),
		backends: make([]identifier.BackendID, len(job.Tasks)),
		outputs:  make([][]byte, len(job.Tasks)),
	}
}

// setProfile sets what the job takes from its profile. Without spill, its tasks
// may run only in the given failure domain.
func (j *activeJob) setProfile(profile profileparser.Profile, domain identifier.FailureDomain) {
	deadline := profile.Deadline
	if j.job.Deadline > 0 {
		deadline = min(j.job.Deadline, profile.Deadline)
	}
	j.profile = profile
	j.deadline = j.arrived.Add(deadline)
	j.unrepeatable = j.job.Unrepeatable || !profile.Repeatable
	j.policy = policyOf(profile.Placement)
	j.goal = goalOf(profile.Placement)
	if !profile.Placement.Spill {
		j.requiredDomain = domain
	}
}

// status returns the status of a job that has not ended.
func (j *activeJob) status() declarer.Status {
	return declarer.Status{Known: true, EndedTasks: j.endedTasks, Tasks: len(j.states)}
}

// started reports whether a task may have started.
func (j *activeJob) started() bool {
	for _, state := range j.states {
		if state != taskQueued {
			return true
		}
	}
	return false
}

// outcomes returns what is known of each task.
func (j *activeJob) outcomes() []declarer.TaskOutcome {
	outcomes := make([]declarer.TaskOutcome, len(j.states))
	for i, state := range j.states {
		outcomes[i] = outcomeOf(state)
	}
	return outcomes
}

func outcomeOf(state taskState) declarer.TaskOutcome {
	switch state {
	case taskQueued:
		return declarer.NeverStarted
	case taskSucceeded, taskFailed:
		return declarer.Ran
	default:
		return declarer.OutcomeUnknown
	}
}

func goalOf(p profileparser.Placement) placer.Goal {
	if p.MessageWeight > p.ResponseWeight {
		return placer.MinimizeMessages
	}
	return placer.MinimizeLatency
}

// taskNeeds returns what a task needs of a backend server.
func (j *activeJob) taskNeeds(i identifier.TaskIndex) placer.TaskNeeds {
	t := j.job.Tasks[i]
	return placer.TaskNeeds{
		Ref:          identifier.TaskRef{Submission: j.job.Submission, Index: i},
		Millicores:   t.Cores,
		Memory:       t.Memory,
		Accelerators: t.Accelerators,
		Goal:         j.goal,
		WaitingSince: j.arrived,
		Policy:       j.policy,
		Domain:       j.requiredDomain,
	}
}
