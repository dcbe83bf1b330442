package repeater

import "time"

const (
	// firstJudged is how long a run goes on before its progress is judged: the
	// shortest tasks have ended by then, and progress of a hundredth shows.
	firstJudged = 250 * time.Millisecond
	// laggingFactor is how many times its estimate a run may still need: estimates
	// are off by less, and starting again costs the work done so far.
	laggingFactor = 2
	// laggingSlack is added, for tasks that are short against stops and starts.
	laggingSlack = 200 * time.Millisecond
	// maxMoves bounds the runs of a task that are stopped for their progress.
	maxMoves = 3
)

// lagging reports whether a run should be stopped and started on another server.
// It answers the load of days on which tasks stand still or crawl on some
// servers: such a run is left when another one would probably end sooner.
func lagging(estimate, elapsed time.Duration, progress float64) bool {
	if elapsed < firstJudged {
		return false
	}
	limit := laggingFactor*estimate + laggingSlack
	if progress <= 0 {
		return elapsed > limit
	}
	remaining := time.Duration(float64(elapsed) * (1 - progress) / progress)
	return remaining > limit
}

// judge stops a run that lags behind.
func (m *Machine) judge(o *ownedServer, r *run) {
	if r.state != runRunning || r.moves >= maxMoves || o.phase != phaseReady {
		return
	}
	elapsed := m.now.Sub(r.startedAt)
	if !lagging(r.msg.Estimate, elapsed, r.progress) {
		return
	}
	m.counters.Stalled++
	m.record("runLags", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID,
		"elapsed", elapsed, "progress", r.progress, "estimate", r.msg.Estimate)
	m.suspect(o, "its run lags")
	m.stop(o, r, "it lags")
}
