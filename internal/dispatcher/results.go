package dispatcher

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/claimer"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/quarantiner"
)

// startEnded takes the outcome of a StartTask.
func (m *Machine) startEnded(now time.Time, e StartEnded) {
	j := m.running(e)
	if j == nil {
		m.opts.Counters.LateResults.Add(1)
	}
	switch outcome := e.Outcome.(type) {
	case TaskSucceeded:
		m.taskSucceeded(now, e, j, outcome)
	case TaskFailed:
		m.taskFailed(now, e, j, outcome)
	case StartRefused:
		m.startRefused(now, e, j, outcome)
	case AnswerLost:
		m.answerLost(now, e, j, outcome)
	}
	m.pump(now)
}

// running returns the job that waits for the outcome, or nil when it has ended.
func (m *Machine) running(e StartEnded) *runningJob {
	j, ok := m.jobs[e.Ref.Submission]
	if !ok || int(e.Ref.Index) >= len(j.states) {
		return nil
	}
	if j.states[e.Ref.Index] != taskRunning || j.backends[e.Ref.Index] != e.Backend {
		return nil
	}
	return j
}

func (m *Machine) taskSucceeded(now time.Time, e StartEnded, j *runningJob, outcome TaskSucceeded) {
	m.opts.Counters.TasksSucceeded.Add(1)
	m.settle(now, e, true, outcome.RunTime)
	m.quarantineStep(now, quarantiner.TaskSucceeded{Backend: e.Backend, RunTime: outcome.RunTime})
	if j == nil {
		return
	}
	m.estimator.Observe(j.job.Profile, j.job.Tasks[e.Ref.Index].RunTime, outcome.RunTime)
	j.states[e.Ref.Index] = taskSucceeded
	j.outputs[m.outputIndex(e.Ref.Index, j)] = outcome.Output
	j.longest = max(j.longest, outcome.RunTime)
	j.ended++
	if j.ended == m.tasksToEnd(j) {
		m.end(now, j, declarer.Complete{Outputs: j.outputs})
	}
}

// tasksToEnd is the number of tasks that a job has to end to be complete.
func (m *Machine) tasksToEnd(j *runningJob) int {
	if m.opts.defects.endEarly {
		return max(1, len(j.states)-1)
	}
	return len(j.states)
}

// outputIndex is where the output of a task goes.
func (m *Machine) outputIndex(i identifier.TaskIndex, j *runningJob) identifier.TaskIndex {
	if m.opts.defects.mixOutputs {
		return identifier.TaskIndex(len(j.states)-1) - i
	}
	return i
}

func (m *Machine) taskFailed(now time.Time, e StartEnded, j *runningJob, outcome TaskFailed) {
	m.opts.Counters.TasksFailed.Add(1)
	if j != nil { // else it may have been stopped
		m.quarantineStep(now, quarantiner.TaskFailed{Backend: e.Backend, Submission: e.Ref.Submission, RunTime: outcome.RunTime})
	}
	m.settle(now, e, false, outcome.RunTime)
	if j == nil {
		return
	}
	j.states[e.Ref.Index] = taskFailed
	j.longest = max(j.longest, outcome.RunTime)
	j.ended++
	m.fail(now, j, declarer.TaskFailed, fmt.Sprintf("task %d failed: %s", e.Ref.Index, outcome.Detail))
}

// startRefused puts a task that provably never started back into the queue.
func (m *Machine) startRefused(now time.Time, e StartEnded, j *runningJob, outcome StartRefused) {
	m.opts.Counters.StartsRefused.Add(1)
	if j != nil {
		j.states[e.Ref.Index] = taskQueued
	}
	m.limiter.Return(now, e.Ref)
	if outcome.Reason == placer.Unreachable {
		m.quarantineStep(now, quarantiner.BackendLost{Backend: e.Backend})
	}
	m.placerStep(now, placer.StartRefused{Backend: e.Backend, Ref: e.Ref, Reason: outcome.Reason})
}

// answerLost fails the job: the task may have started, so it can't start again.
func (m *Machine) answerLost(now time.Time, e StartEnded, j *runningJob, outcome AnswerLost) {
	m.opts.Counters.TasksLost.Add(1)
	if m.opts.defects.restartLost {
		m.startRefused(now, e, j, StartRefused{Reason: placer.Unreachable})
		return
	}
	m.limiter.Ended(now, e.Ref, 0)
	m.quarantineStep(now, quarantiner.BackendLost{Backend: e.Backend})
	m.placerStep(now, placer.TaskLost{Backend: e.Backend, Ref: e.Ref})
	if j == nil {
		return
	}
	j.states[e.Ref.Index] = taskLost
	m.fail(now, j, declarer.BackendLost, fmt.Sprintf("the answer of task %d was lost: %s", e.Ref.Index, outcome.Detail))
}

// settle tells the cores that a task ended.
func (m *Machine) settle(now time.Time, e StartEnded, succeeded bool, runTime time.Duration) {
	m.limiter.Ended(now, e.Ref, runTime)
	m.placerStep(now, placer.TaskEnded{Backend: e.Backend, Ref: e.Ref, Succeeded: succeeded, RunTime: runTime})
}

// fail ends a job that can't complete. A job of which nothing started was not run.
func (m *Machine) fail(now time.Time, j *runningJob, cause declarer.FailureCause, detail string) {
	outcomes := j.outcomes()
	if m.opts.defects.denyStarts {
		clear(outcomes)
		for i := range outcomes {
			outcomes[i] = declarer.NeverStarted
		}
	}
	m.end(now, j, declarer.Failed{Cause: cause, Detail: detail, Outcomes: outcomes})
}

// end gives a job its ending, answers those who wait and stops what still runs.
func (m *Machine) end(now time.Time, j *runningJob, ending declarer.Ending) {
	delete(m.jobs, j.job.Submission)
	if j.admitted {
		m.limiter.Remove(now, j.job.Submission)
	}
	if j.profile.Cancellation != letRun {
		m.stopRunning(j)
	}
	m.claimerStep(now, claimer.JobEnded{Submission: j.job.Submission, Ending: ending})
	m.count(ending)
	m.observe(now, j, ending)
	for _, w := range j.waiters {
		m.replyEnding(w.requester, ending)
	}
}

// observe reports an ended job for the service-level reports.
func (m *Machine) observe(now time.Time, j *runningJob, ending declarer.Ending) {
	m.emit(JobObserved{
		Team:      j.job.Team,
		Profile:   j.job.Profile,
		Objective: m.profiles[j.job.Profile].Objective,
		Ending:    ending,
		Response:  now.Sub(j.arrived),
		Ideal:     j.longest,
	})
}

// observeUnanswered reports a job of which this entry VM can't tell, or that it
// refuses, without having run it.
func (m *Machine) observeUnanswered(job declarer.Job, response time.Duration, ending declarer.Ending) {
	m.count(ending)
	m.emit(JobObserved{
		Team:      job.Team,
		Profile:   job.Profile,
		Objective: m.profiles[job.Profile].Objective,
		Ending:    ending,
		Response:  response,
	})
}

// stopRunning asks for a stop of the job's running tasks at the next tick.
func (m *Machine) stopRunning(j *runningJob) {
	for i, state := range j.states {
		if state != taskRunning {
			continue
		}
		backend := j.backends[i]
		ref := identifier.TaskRef{Submission: j.job.Submission, Index: identifier.TaskIndex(i)}
		m.stops[backend] = append(m.stops[backend], ref)
	}
}

func (m *Machine) count(ending declarer.Ending) {
	c := m.opts.Counters
	switch ending.(type) {
	case declarer.Complete:
		c.JobsComplete.Add(1)
	case declarer.Failed:
		c.JobsFailed.Add(1)
	case declarer.Refused:
		c.JobsRefused.Add(1)
	case declarer.Unverifiable:
		c.JobsUnverifiable.Add(1)
	}
}
