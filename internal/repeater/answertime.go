package repeater

import "time"

const (
	// minStartTimeout and maxStartTimeout bound how long a VM waits for the answer of a
	// start: some round trips between failure domains, and no more than a short job can
	// wait.
	minStartTimeout = 25 * time.Millisecond
	maxStartTimeout = 100 * time.Millisecond
	// The weights of the newest sample, and of the deviation in the bound, are those of
	// TCP's retransmission timer (RFC 6298).
	answerMeanWeight      = 0.125
	answerDeviationWeight = 0.25
	answerDeviations      = 4
)

// answerTime estimates how long servers take to answer this VM, its own delays
// included.
type answerTime struct {
	mean, deviation time.Duration
	known           bool
}

// add records the time that one answer has taken.
func (a *answerTime) add(took time.Duration) {
	if !a.known {
		a.mean, a.deviation, a.known = took, took/2, true
		return
	}
	a.deviation += time.Duration(answerDeviationWeight * float64((took-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(answerMeanWeight * float64(took-a.mean))
}

// timeout returns how long to wait for an answer. When it ends, a poll shows whether the
// start was carried out, so that a short one costs little.
func (a answerTime) timeout() time.Duration {
	if !a.known {
		return maxStartTimeout
	}
	return min(max(a.mean+answerDeviations*a.deviation, minStartTimeout), maxStartTimeout)
}
