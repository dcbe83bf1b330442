package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// queueKey identifies the queue of one team under one profile.
type queueKey struct {
	team    identifier.Team
	profile identifier.ProfileName
}

// profileQueue holds the jobs of one team under one profile on this entry VM. A
// quota bounds their running tasks.
type profileQueue struct {
	key                 queueKey
	team                *team
	jobs                jobHeap // jobs with tasks to dispatch
	unfinishedJobs      int     // number of jobs with tasks that have not ended
	queued              int     // number of queued tasks
	queuedWork          time.Duration
	running             identifier.Slots // dispatched tasks that have not ended
	quota               identifier.Slots // over all entry VMs; 0: none
	share               quotaShare       // this VM's part of the quota
	countedDispatchable identifier.Slots // its part of Limiter.dispatchable
}

// ready reports whether a task of the queue may be dispatched now.
func (pq *profileQueue) ready() bool {
	return len(pq.jobs) > 0 && (pq.quota == 0 || pq.running < pq.share.usable())
}

// dispatchable is the number of queued tasks that the quota lets run now.
func (pq *profileQueue) dispatchable() identifier.Slots {
	n := identifier.Slots(pq.queued)
	if pq.quota > 0 {
		n = min(n, pq.share.usable()-pq.running)
	}
	return max(0, n)
}

// idle reports whether the queue can be dropped: it has no jobs or tasks, and
// its share has no transfers and no pending change.
func (pq *profileQueue) idle() bool {
	return pq.unfinishedJobs == 0 && pq.running == 0 && pq.queued == 0 && !pq.share.hasTransfers() && !pq.share.pending
}
