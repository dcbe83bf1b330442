package experimenter

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/loader"
)

// Recovery tells when a run was back to its steady state after a disturbance.
type Recovery struct {
	Disturbed bool          `json:"disturbed"`
	Recovered bool          `json:"recovered"`
	After     time.Duration `json:"afterNanos"` // since the disturbance's end; whole seconds
}

// A run is back when the median of response time over the ideal is within
// steadyMargin of its greatest value before the disturbance for steadySeconds.
const (
	steadyMargin  = 1.1
	steadySeconds = 3
)

// recovery finds when the jobs of a second are answered again as before the
// disturbance.
func (s Scenario) recovery(report loader.Report) Recovery {
	begin, end, ok := s.disturbance()
	if !ok || begin < time.Second {
		return Recovery{}
	}
	steady := 0.0
	for _, second := range report.Seconds[:min(int(begin/time.Second), len(report.Seconds))] {
		steady = max(steady, second.P50)
	}
	first := int((end + time.Second - 1) / time.Second)
	quiet := 0
	for i := first; i < len(report.Seconds); i++ {
		quiet++
		if !isSteady(report.Seconds[i], steady) {
			quiet = 0
		}
		if quiet == steadySeconds {
			after := time.Duration(i-first-steadySeconds+1) * time.Second
			return Recovery{Disturbed: true, Recovered: true, After: after}
		}
	}
	return Recovery{Disturbed: true}
}

// isSteady says whether every job of a second was answered, and as fast as before.
func isSteady(second loader.Figures, steady float64) bool {
	return second.Good == second.Offered && second.P50 <= steady*steadyMargin
}

// String returns the recovery for a table.
func (r Recovery) String() string {
	switch {
	case !r.Disturbed:
		return "–"
	case !r.Recovered:
		return "not seen"
	default:
		return r.After.String()
	}
}

// missed lists the targets that a run did not meet.
func (s Scenario) missed(run Run) []string {
	t, r := s.Targets, run.Report
	var missed []string
	if t.P99 > 0 && r.All.P99 > t.P99 {
		missed = append(missed, fmt.Sprintf("p99 %.2f above %.2f", r.All.P99, t.P99))
	}
	if t.WastedShare > 0 && r.Messages.WastedShare() > t.WastedShare {
		missed = append(missed, fmt.Sprintf("wasted %.2f%% above %.2f%%", r.Messages.WastedShare()*100, t.WastedShare*100))
	}
	if t.Goodput > 0 && r.All.Goodput < t.Goodput {
		missed = append(missed, fmt.Sprintf("goodput %.2f%% below %.2f%%", r.All.Goodput*100, t.Goodput*100))
	}
	if t.RecoverIn > 0 && run.Recovery.Disturbed && (!run.Recovery.Recovered || run.Recovery.After > t.RecoverIn) {
		missed = append(missed, fmt.Sprintf("recovery %s, not within %v", run.Recovery, t.RecoverIn))
	}
	if r.ForeignStarts > 0 {
		missed = append(missed, fmt.Sprintf("disturbed by %d starts of other callers", r.ForeignStarts))
	}
	if r.Failed() {
		missed = append(missed, fmt.Sprintf("%d violations, %d left over, %d not sent, %d unanswered",
			len(r.Violations), r.LeftOver, r.NotSent, r.Endings["unanswered"]))
	}
	return missed
}
