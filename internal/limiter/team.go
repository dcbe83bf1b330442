package limiter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// team is what the limiter knows of one team.
type team struct {
	name       identifier.Team
	virtual    float64 // seconds of slot time taken so far, divided by the weight
	weight     float64 // of the latest job
	lanes      []*lane
	queued     int // tasks
	queuedWork time.Duration
	running    identifier.Slots
	active     bool // has queued or running tasks
	position   int  // in the heap of teams, or notQueued
}

// first returns the lane whose first job goes next, or nil when no lane may
// dispatch a task.
func (t *team) first() *lane {
	var best *lane
	for _, l := range t.lanes {
		if l.ready() && (best == nil || l.jobs[0].order < best.jobs[0].order) {
			best = l
		}
	}
	return best
}

// charge adds slot time to what the team has taken; a negative time is a refund.
func (t *team) charge(d time.Duration, weight float64) {
	t.virtual += d.Seconds() / weight
}

func (t *team) drop(l *lane) {
	t.lanes = slices.DeleteFunc(t.lanes, func(other *lane) bool { return other == l })
}
