package repeater

import (
	"slices"
	"time"
)

const (
	// newestRunWeight is the weight of the newest run in a server's mean slowdown:
	// about the last five runs count.
	newestRunWeight = 0.3
	// minJudgedRuns is the number of runs from which a server's slowdown is
	// meaningful: estimates are off by 40%.
	minJudgedRuns = 2
	// slowFactor is how many times the usual slowdown a slow server has: a task
	// takes longer there than its objective allows, which is 1.6 times its work
	// plus a target.
	slowFactor = 2.5
	// firstSlowSuspension is the first suspension of a slow server. Servers stay
	// slow for seconds, and each run there on probation is probably late.
	firstSlowSuspension = time.Second
	// maxRunSlowdown bounds the slowdown of one run, so that a single run doesn't
	// outweigh many.
	maxRunSlowdown = 12.0
	// minMedianServers is the number of judged servers from which their median is
	// used.
	minMedianServers = 3
)

// slowdown is the ratio of a server's run times to their estimates.
type slowdown struct {
	mean float64
	runs int
}

// add records a run that succeeded. The time of messages and calls is not
// counted against a server that runs short tasks.
func (s *slowdown) add(elapsed, estimate time.Duration) {
	ratio := min(float64(elapsed)/float64(estimate+networkAllowance), maxRunSlowdown)
	if s.mean == 0 {
		s.mean = ratio
	}
	s.mean += newestRunWeight * (ratio - s.mean)
	s.runs++
}

// slow reports whether a server takes so long that its tasks are late. Some
// servers may be several times slower at times. They look as free as others,
// and each job of many tasks would hit one.
func (s slowdown) slow(usual float64) bool {
	return s.runs >= minJudgedRuns && s.mean > slowFactor*usual
}

// medianSlowdown returns the median slowdown of the judged servers of this VM,
// or 1 when they are too few: the estimates are then assumed to be right on
// average.
func (m *Machine) medianSlowdown() float64 {
	var means []float64
	for _, o := range m.owned {
		if o.slowdown.runs >= minJudgedRuns {
			means = append(means, o.slowdown.mean)
		}
	}
	if len(means) < minMedianServers {
		return 1
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// recordCompletedRun records a run that a server completed. It clears the
// server's failures, or suspends the server because it is slow.
func (m *Machine) recordCompletedRun(o *ownedServer, r *run) {
	if r.startedAt.IsZero() || r.msg.Estimate <= 0 || !o.lastUnansweredAt.Before(r.startedAt) || len(r.msg.Avoid) > 0 {
		// The run time is unknown: after a call without an answer, ends are seen
		// late. Or the task has failed or lagged on another server and may be slow itself.
		o.clearFailures()
		return
	}
	if o.suspension > 0 {
		o.slowdown = slowdown{runs: minJudgedRuns - 1} // on probation only this run counts
	}
	o.slowdown.add(m.now.Sub(r.startedAt), r.msg.Estimate)
	if usual := m.medianSlowdown(); o.slowdown.slow(usual) {
		m.suspendServer(o, "it is slow", firstSlowSuspension)
		return
	}
	o.clearFailures()
}
