package limiter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// team is the state of one team over all its queues.
type team struct {
	name        identifier.Team
	virtualTime float64 // seconds of slot time used so far, divided by the weight
	weight      float64 // weight of the latest job
	queues      []*profileQueue
	queued      int // number of queued tasks
	queuedWork  time.Duration
	running     identifier.Slots
	active      bool // has queued or running tasks
	position    int  // position in the heap of teams, or notQueued
}

// nextQueue returns the queue whose first job goes next, or nil when no queue
// may dispatch a task.
func (t *team) nextQueue() *profileQueue {
	var best *profileQueue
	for _, pq := range t.queues {
		if pq.ready() && (best == nil || pq.jobs[0].sortKey < best.jobs[0].sortKey) {
			best = pq
		}
	}
	return best
}

// charge adds slot time to what the team has used; a negative time is a refund.
func (t *team) charge(d time.Duration, weight float64) {
	t.virtualTime += d.Seconds() / weight
}

func (t *team) removeQueue(pq *profileQueue) {
	t.queues = slices.DeleteFunc(t.queues, func(other *profileQueue) bool { return other == pq })
}
