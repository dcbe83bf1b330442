package experimenter

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/loader"
)

// Recovery says whether and when a run returned to its steady state after a
// disturbance.
type Recovery struct {
	Disturbed bool          `json:"disturbed"`
	Recovered bool          `json:"recovered"`
	After     time.Duration `json:"afterNanos"` // since the end of the disturbance, in whole seconds
}

// A run has recovered when, for steadySeconds in a row, every job is good and the
// median ratio of response times to the ideal is at most steadyFactor times its
// greatest value before the disturbance.
const (
	steadyFactor  = 1.1
	steadySeconds = 3
)

// recovery returns the recovery of a run from the scenario's disturbance. It is
// the zero value if there is no disturbance, or if less than a second precedes it.
func (s Scenario) recovery(report loader.Report) Recovery {
	begin, end, ok := s.disturbance()
	if !ok || begin < time.Second {
		return Recovery{}
	}
	steadyP50 := 0.0
	for _, second := range report.Seconds[:min(int(begin/time.Second), len(report.Seconds))] {
		steadyP50 = max(steadyP50, second.P50)
	}
	first := int((end + time.Second - 1) / time.Second)
	consecutive := 0
	for i := first; i < len(report.Seconds); i++ {
		consecutive++
		if !isSteady(report.Seconds[i], steadyP50) {
			consecutive = 0
		}
		if consecutive == steadySeconds {
			after := time.Duration(i-first-steadySeconds+1) * time.Second
			return Recovery{Disturbed: true, Recovered: true, After: after}
		}
	}
	return Recovery{Disturbed: true}
}

// isSteady reports whether every job of a second was good, and about as fast as
// in the steady state.
func isSteady(second loader.Figures, steadyP50 float64) bool {
	return second.Good == second.Offered && second.P50 <= steadyP50*steadyFactor
}

// String returns the recovery as a cell of the table.
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

// missedTargets describes the targets that a run did not meet. Starts of other
// callers and a failed report count as missed targets, too.
func (s Scenario) missedTargets(run Run) []string {
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
			len(r.Violations), r.Unfinished, r.NotSent, r.Endings["unanswered"]))
	}
	return missed
}
