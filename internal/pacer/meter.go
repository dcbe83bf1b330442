// Package pacer learns how fast each backend server runs tasks, from their run times and
// estimates.
//
// Estimates are inexact, and some tasks take many times as long as estimated. A Meter
// therefore tells three things apart: the pace that a server always has, a server that
// has turned slow, and single long tasks, which say nothing of their server.
package pacer

import (
	"math"
	"time"
)

const (
	// newestRunWeight is the least weight of the newest run in a server's pace, so that a
	// pace is forgotten in some 50 runs.
	newestRunWeight = 0.02
	// maxDeviation bounds how far one run may seem to be off the pace, as a logarithm:
	// about twice the usual error of estimates.
	maxDeviation = 0.8
	// minPaceRuns is the number of runs from which a pace is used, with runs that are off by
	// 40% and an effect that has to be seen of 15% or more: their mean is then off by 13%.
	minPaceRuns = 10
	// minEffect is the least deviation from 1 of a pace that counts.
	minEffect = 0.15
	// recentRuns are the latest runs that show whether a server has turned slow, and slowRuns
	// is how many of them have to be slow: a tail of 3% long tasks reaches that once in some
	// thousands of runs.
	recentRuns = 5
	slowRuns   = 3
	// slowFactor is how many times its usual pace a slow server needs: a task
	// takes longer there than its objective allows, which is 1.6 times its work
	// plus a target.
	slowFactor = 2.5
)

// Meter measures the pace of one server. Its zero value has seen no run.
type Meter struct {
	mean   float64 // of the logarithms of run times over estimates
	runs   int
	recent [recentRuns]float64 // a ring of run times over estimates
	kept   int                 // runs in recent
}

// Observe records a run that has succeeded.
func (m *Meter) Observe(elapsed, estimate time.Duration) {
	if elapsed <= 0 || estimate <= 0 {
		return
	}
	ratio := float64(elapsed) / float64(estimate)
	m.recent[m.kept%recentRuns] = ratio
	m.kept++
	x := math.Log(ratio)
	if m.runs == 0 {
		m.mean = min(max(x, -maxDeviation), maxDeviation)
	}
	m.runs++
	weight := max(1/float64(m.runs), newestRunWeight)
	m.mean += weight * min(max(x-m.mean, -maxDeviation), maxDeviation)
}

// ForgetRecent makes the meter judge by the runs from now on whether the server is slow.
func (m *Meter) ForgetRecent() { m.kept = 0 }

// Adopt takes over a pace that another VM has measured, unless this meter has seen enough
// runs itself.
func (m *Meter) Adopt(pace float64) {
	if m.runs < minPaceRuns && pace > 0 {
		m.mean, m.runs = math.Log(pace), minPaceRuns
	}
}

// Known reports whether enough runs have been seen for a pace.
func (m *Meter) Known() bool { return m.runs >= minPaceRuns }

// Pace returns how long tasks take on the server in relation to their estimates, and 1 if
// that isn't known or differs little from 1.
func (m *Meter) Pace() float64 {
	if !m.Known() || math.Abs(m.mean) < minEffect {
		return 1
	}
	return math.Exp(m.mean)
}

// TurnedSlow reports whether most of the latest runs took far longer than on this server in
// the past and than is usual on others.
func (m *Meter) TurnedSlow(usual float64) bool {
	limit := slowFactor * max(usual, m.Pace())
	slow := 0
	for _, ratio := range m.recent[:min(m.kept, recentRuns)] {
		if ratio > limit {
			slow++
		}
	}
	return slow >= slowRuns
}

// Runs returns the number of runs that the meter has seen.
func (m *Meter) Runs() int { return m.runs }
