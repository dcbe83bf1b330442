package repeater

import "time"

const (
	// minJudgedAge is how long a run lasts before its progress is judged: the
	// shortest tasks have ended by then, and progress of one percent is visible.
	minJudgedAge = 250 * time.Millisecond
	// maxRemainingFactor is how many times its estimate a run may still need:
	// estimates are off by less, and a new run loses the work done so far.
	maxRemainingFactor = 2
	// remainingSlack is a duration added to the estimate times maxRemainingFactor,
	// for tasks that are short compared with a stop and a start.
	remainingSlack = 200 * time.Millisecond
	// maxStoppedRuns is the number of earlier runs of a task, stopped or lost, from
	// which a run without progress is left alone.
	maxStoppedRuns = 3
	// maxStoppedSlowRuns is the same for a run that makes progress: if it lags on a second
	// server, the task is slow and not the server.
	maxStoppedSlowRuns = 1
)

// lagging reports whether a run should be stopped and restarted on another
// server, because a new run would probably end sooner. On some servers, tasks
// make little progress or none.
func lagging(estimate, elapsed time.Duration, progress float64) bool {
	if elapsed < minJudgedAge {
		return false
	}
	limit := maxRemainingFactor*estimate + remainingSlack
	if progress <= 0 {
		return elapsed > limit
	}
	remaining := time.Duration(float64(elapsed) * (1 - progress) / progress)
	return remaining > limit
}

// stopIfLagging stops a lagging run.
func (m *Machine) stopIfLagging(o *ownedServer, r *run) {
	limit := maxStoppedRuns
	if r.progress > 0 {
		limit = maxStoppedSlowRuns
	}
	if r.state != runRunning || r.stoppedRuns >= limit || o.phase != phaseReady {
		return
	}
	elapsed := m.now.Sub(r.startedAt)
	if r.progress > 0 && o.usualPaceSince.After(r.startedAt) {
		return // the server runs other tasks as fast as usual, so this one is long
	}
	if !lagging(r.msg.Estimate, elapsed, r.progress) {
		return
	}
	m.counters.Stalled++
	m.logDecision("runLags", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID,
		"elapsed", elapsed, "progress", r.progress, "estimate", r.msg.Estimate)
	m.recordRunFailure(o, r, "its run lags")
	m.stopRun(o, r, "it lags")
}
