package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// laneKey names the work of one team under one profile, which a quota bounds.
type laneKey struct {
	team    identifier.Team
	profile identifier.ProfileName
}

// lane is the work of one team under one profile on this entry VM.
type lane struct {
	key        laneKey
	team       *team
	jobs       jobHeap // with queued tasks
	open       int     // jobs with tasks that have not ended
	queued     int     // tasks
	queuedWork time.Duration
	running    identifier.Slots // dispatched tasks that have not ended
	quota      identifier.Slots // over all entry VMs; 0: none
	share      quotaShare       // this VM's part of the quota
	counted    identifier.Slots // what the lane adds to the dispatchable tasks
}

// ready reports whether a task of the lane may be dispatched.
func (l *lane) ready() bool {
	return len(l.jobs) > 0 && (l.quota == 0 || l.running < l.share.usable())
}

// dispatchable is the number of queued tasks that the quota lets run now.
func (l *lane) dispatchable() identifier.Slots {
	n := identifier.Slots(l.queued)
	if l.quota > 0 {
		n = min(n, l.share.usable()-l.running)
	}
	return max(0, n)
}

// idle reports whether the lane holds nothing that has to be kept.
func (l *lane) idle() bool {
	return l.open == 0 && l.running == 0 && l.queued == 0 && !l.share.moved() && !l.share.settling
}
