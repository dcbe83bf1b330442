package repeater

import (
	"slices"
	"time"
)

const (
	// paceWeight is the weight of the newest run in a server's pace: the last five
	// or so count.
	paceWeight = 0.3
	// judgedRuns is the number of runs until a server's pace says something:
	// estimates are off by 40%.
	judgedRuns = 2
	// slowBound is how many times the usual pace a slow server takes: a task takes
	// longer there than its objective allows, which is 1.6 times its work and a
	// target more.
	slowBound = 2.5
	// slowSuspension is the first suspension of a slow server. Servers stay slow for
	// seconds, and each run on probation there is probably late.
	slowSuspension = time.Second
	// longestPace bounds the pace of one run, so that one doesn't outweigh many.
	longestPace = 12.0
	// medianServers is the number of judged servers that make a usual pace.
	medianServers = 3
)

// pace is how long runs take on a server, against their estimates.
type pace struct {
	mean float64
	runs int
}

// add takes in a run that ended well. Messages and calls are no fault of a server
// that runs short tasks.
func (p *pace) add(elapsed, estimate time.Duration) {
	ratio := min(float64(elapsed)/float64(estimate+networkAllowance), longestPace)
	if p.mean == 0 {
		p.mean = ratio
	}
	p.mean += paceWeight * (ratio - p.mean)
	p.runs++
}

// slow reports whether a server takes so long that its tasks are late. It answers
// the load of days on which some servers work several times slower: they look as
// free as others, and each job of many tasks meets one.
func (p pace) slow(usual float64) bool {
	return p.runs >= judgedRuns && p.mean > slowBound*usual
}

// usualPace is the median of the servers that this VM has judged. Where they are
// few, estimates are taken to be right in the mean.
func (m *Machine) usualPace() float64 {
	var means []float64
	for _, o := range m.owned {
		if o.pace.runs >= judgedRuns {
			means = append(means, o.pace.mean)
		}
	}
	if len(means) < medianServers {
		return 1
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// endedWell takes in a run that a server has done: the server is trusted again,
// or set aside because it is slow.
func (m *Machine) endedWell(o *ownedServer, r *run) {
	if r.startedAt.IsZero() || r.msg.Estimate <= 0 || !o.missedAt.Before(r.startedAt) {
		// Nothing tells how long it took: after a call without an answer, ends are
		// seen late.
		o.trust()
		return
	}
	if o.suspendFor > 0 {
		o.pace = pace{runs: judgedRuns - 1} // on probation this run alone counts
	}
	o.pace.add(m.now.Sub(r.startedAt), r.msg.Estimate)
	if usual := m.usualPace(); o.pace.slow(usual) {
		m.suspend(o, "it is slow", slowSuspension)
		return
	}
	o.trust()
}
