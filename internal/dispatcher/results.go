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

// handleStartTaskFinished handles the outcome of a StartTask.
func (m *Machine) handleStartTaskFinished(now time.Time, e StartTaskFinished) {
	j := m.jobAwaitingOutcome(e)
	if j == nil {
		m.opts.Counters.LateResults.Add(1)
	}
	switch outcome := e.Outcome.(type) {
	case TaskSucceeded:
		m.handleTaskSucceeded(now, e, j, outcome)
	case TaskFailed:
		m.handleTaskFailed(now, e, j, outcome)
	case StartRefused:
		m.handleStartRefused(now, e, j, outcome)
	case OutcomeUnknown:
		m.handleOutcomeUnknown(now, e, j, outcome)
	}
	m.startQueued(now)
}

// jobAwaitingOutcome returns the job that waits for the outcome, or nil when it
// has ended.
func (m *Machine) jobAwaitingOutcome(e StartTaskFinished) *activeJob {
	j, ok := m.jobs[e.Ref.Submission]
	if !ok || int(e.Ref.Index) >= len(j.states) {
		return nil
	}
	if j.states[e.Ref.Index] != taskRunning || j.backends[e.Ref.Index] != e.Backend {
		return nil
	}
	return j
}

func (m *Machine) handleTaskSucceeded(now time.Time, e StartTaskFinished, j *activeJob, outcome TaskSucceeded) {
	m.opts.Counters.TasksSucceeded.Add(1)
	m.reportTaskEnd(now, e, true, outcome.RunTime)
	m.stepQuarantiner(now, quarantiner.TaskSucceeded{Backend: e.Backend, RunTime: outcome.RunTime})
	if j == nil {
		return
	}
	m.estimator.Observe(j.job.Profile, j.job.Tasks[e.Ref.Index].RunTime, outcome.RunTime)
	j.states[e.Ref.Index] = taskSucceeded
	j.outputs[m.outputIndex(e.Ref.Index, j)] = outcome.Output
	j.longestRunTime = max(j.longestRunTime, outcome.RunTime)
	j.endedTasks++
	if j.endedTasks == m.requiredTasks(j) {
		m.endJob(now, j, declarer.Complete{Outputs: j.outputs})
	}
}

// requiredTasks returns the number of tasks that must end for a job to be complete.
func (m *Machine) requiredTasks(j *activeJob) int {
	if m.opts.defects.endEarly {
		return max(1, len(j.states)-1)
	}
	return len(j.states)
}

// outputIndex returns the index at which the output of a task is stored.
func (m *Machine) outputIndex(i identifier.TaskIndex, j *activeJob) identifier.TaskIndex {
	if m.opts.defects.mixOutputs {
		return identifier.TaskIndex(len(j.states)-1) - i
	}
	return i
}

func (m *Machine) handleTaskFailed(now time.Time, e StartTaskFinished, j *activeJob, outcome TaskFailed) {
	m.opts.Counters.TasksFailed.Add(1)
	if j != nil { // without a job, the task may have failed because it was stopped
		m.stepQuarantiner(now, quarantiner.TaskFailed{Backend: e.Backend, Submission: e.Ref.Submission, RunTime: outcome.RunTime})
	}
	m.reportTaskEnd(now, e, false, outcome.RunTime)
	if j == nil {
		return
	}
	j.states[e.Ref.Index] = taskFailed
	j.longestRunTime = max(j.longestRunTime, outcome.RunTime)
	j.endedTasks++
	m.failJob(now, j, declarer.TaskFailed, fmt.Sprintf("task %d failed: %s", e.Ref.Index, outcome.Detail))
}

// handleStartRefused puts a task that provably never started back into the queue.
func (m *Machine) handleStartRefused(now time.Time, e StartTaskFinished, j *activeJob, outcome StartRefused) {
	m.opts.Counters.StartsRefused.Add(1)
	if j != nil {
		j.states[e.Ref.Index] = taskQueued
	}
	m.limiter.RequeueRefused(now, e.Ref)
	if outcome.Reason == placer.Unreachable {
		m.stepQuarantiner(now, quarantiner.BackendUnreachable{Backend: e.Backend})
	}
	m.stepPlacer(now, placer.StartRefused{Backend: e.Backend, Ref: e.Ref, Reason: outcome.Reason})
}

// handleOutcomeUnknown fails the job: the task may have started, so it must not start
// again.
func (m *Machine) handleOutcomeUnknown(now time.Time, e StartTaskFinished, j *activeJob, outcome OutcomeUnknown) {
	m.opts.Counters.TasksUnknown.Add(1)
	if m.opts.defects.restartUnknown {
		m.handleStartRefused(now, e, j, StartRefused{Reason: placer.Unreachable})
		return
	}
	m.limiter.EndTask(now, e.Ref, 0)
	m.stepQuarantiner(now, quarantiner.BackendUnreachable{Backend: e.Backend, Submission: e.Ref.Submission})
	m.stepPlacer(now, placer.TaskOutcomeUnknown{Backend: e.Backend, Ref: e.Ref})
	if j == nil {
		return
	}
	j.states[e.Ref.Index] = taskOutcomeUnknown
	m.failJob(now, j, declarer.BackendLost, fmt.Sprintf("the answer of task %d was lost: %s", e.Ref.Index, outcome.Detail))
}

// reportTaskEnd tells the limiter and the placer that a task has ended.
func (m *Machine) reportTaskEnd(now time.Time, e StartTaskFinished, succeeded bool, runTime time.Duration) {
	m.limiter.EndTask(now, e.Ref, runTime)
	m.stepPlacer(now, placer.TaskEnded{Backend: e.Backend, Ref: e.Ref, Succeeded: succeeded, RunTime: runTime})
}

// failJob ends a job that can't complete. The ending tells for each task whether it
// ran, and so also whether any part of the job ran.
func (m *Machine) failJob(now time.Time, j *activeJob, cause declarer.FailureCause, detail string) {
	outcomes := j.outcomes()
	if m.opts.defects.denyStarts {
		clear(outcomes)
		for i := range outcomes {
			outcomes[i] = declarer.NeverStarted
		}
	}
	m.endJob(now, j, declarer.Failed{Cause: cause, Detail: detail, Outcomes: outcomes})
}

// endJob ends a job: it records the ending, answers the waiters and stops the tasks
// that still run, unless the profile lets them run on.
func (m *Machine) endJob(now time.Time, j *activeJob, ending declarer.Ending) {
	delete(m.jobs, j.job.Submission)
	if j.admitted {
		m.limiter.RemoveJob(now, j.job.Submission)
	}
	if j.profile.Cancellation != letRun {
		m.scheduleStops(j)
	}
	m.stepClaimer(now, claimer.JobEnded{Submission: j.job.Submission, Ending: ending})
	m.countEnding(ending)
	m.reportEndedJob(now, j, ending)
	for _, w := range j.waiters {
		m.replyEnding(w.requester, ending)
	}
}

// reportEndedJob reports an ended job for the service-level reports.
func (m *Machine) reportEndedJob(now time.Time, j *activeJob, ending declarer.Ending) {
	m.emit(JobEnded{
		Team:           j.job.Team,
		Profile:        j.job.Profile,
		Objective:      m.profiles[j.job.Profile].Objective,
		Ending:         ending,
		Response:       now.Sub(j.arrived),
		LongestRunTime: j.longestRunTime,
	})
}

// reportUnservedJob reports a job that this entry VM did not run: it refuses the
// job or can't tell what became of it.
func (m *Machine) reportUnservedJob(job declarer.Job, response time.Duration, ending declarer.Ending) {
	m.countEnding(ending)
	m.emit(JobEnded{
		Team:      job.Team,
		Profile:   job.Profile,
		Objective: m.profiles[job.Profile].Objective,
		Ending:    ending,
		Response:  response,
	})
}

// scheduleStops schedules the job's running tasks to be stopped at the next tick.
func (m *Machine) scheduleStops(j *activeJob) {
	for i, state := range j.states {
		if state != taskRunning {
			continue
		}
		backend := j.backends[i]
		ref := identifier.TaskRef{Submission: j.job.Submission, Index: identifier.TaskIndex(i)}
		m.pendingStops[backend] = append(m.pendingStops[backend], ref)
	}
}

func (m *Machine) countEnding(ending declarer.Ending) {
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
