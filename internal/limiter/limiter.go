// Package limiter decides which jobs are admitted, and in which order the tasks
// of admitted jobs are dispatched.
//
// A job is admitted or refused as a whole. The teams share the slots by weighted
// fair queueing over slot time, within their quotas. A quota holds for all entry
// VMs together: each of them has a share, and they transfer parts of their shares
// to each other on request. A Limiter is deterministic: it reads no clock, and its
// randomness comes from Options.Rand. It is not safe for concurrent use.
package limiter

import (
	"container/heap"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// priorityBoost is how much earlier a job counts as arrived in its queue for each
// level of its priority.
const priorityBoost = 500 * time.Millisecond

// Limiter admits jobs and orders their tasks.
type Limiter struct {
	opts               Options
	teams              map[identifier.Team]*team
	queues             map[queueKey]*profileQueue
	jobs               map[identifier.SubmissionID]*job
	ready              teamHeap
	virtualTime        float64 // greatest virtual time of a team when it was served
	activeWeight       float64 // sum of the weights of the active teams
	activeTeams        int     // number of teams with queued or running tasks
	capacity           identifier.Slots
	memberCount        int                                                // number of entry VMs that share the capacity
	memberList         memberList                                         // the entry VMs between which the quotas are divided now
	previousMemberList memberList                                         // the one before the latest change
	sharesEffectiveAt  time.Time                                          // when the shares by memberList take effect
	pendingShares      []*profileQueue                                    // queues whose new share has not taken effect yet
	nextRequestAt      time.Time                                          // when to look again for queues that need a greater share
	unconfirmed        []pendingTransfer                                  // transfers that their receivers have not confirmed
	deferredQueues     []*profileQueue                                    // queues with a transfer that waits until tasks end
	confirmations      map[identifier.Member][]peermessenger.ShareRequest // share requests that confirm transfers, by the transfers' sender; sent with the next requests
	unreachable        map[identifier.Member]bool                         // the VMs that can't be reached
	queued             int                                                // number of queued tasks
	queuedWork         time.Duration                                      // expected run time of the queued tasks
	running            identifier.Slots                                   // dispatched tasks that have not ended
	runningWork        time.Duration                                      // expected run time of the running tasks
	retryBudget        tokenBucket

	dispatchable identifier.Slots // number of queued tasks that their quotas let run now
	delayed      []delayedTask    // refused tasks that the retry budget holds back
}

// New returns a Limiter without capacity: it refuses all jobs until SetCapacity
// is called.
func New(opts Options) *Limiter {
	opts = opts.withDefaults()
	return &Limiter{
		opts:          opts,
		teams:         make(map[identifier.Team]*team),
		queues:        make(map[queueKey]*profileQueue),
		jobs:          make(map[identifier.SubmissionID]*job),
		memberCount:   1,
		confirmations: make(map[identifier.Member][]peermessenger.ShareRequest),
		unreachable:   make(map[identifier.Member]bool),
		retryBudget:   newTokenBucket(),
	}
}

// SetCapacity sets the number of slots of the backend servers that this entry
// VM can reach, which all entry VMs share.
func (l *Limiter) SetCapacity(_ time.Time, slots identifier.Slots) { l.capacity = slots }

// Queued returns the number of queued tasks.
func (l *Limiter) Queued() int { return l.queued }

// Running returns the number of dispatched tasks that have not ended.
func (l *Limiter) Running() identifier.Slots { return l.running }

// Dispatchable returns the number of queued tasks that their quotas let run now.
func (l *Limiter) Dispatchable() identifier.Slots { return l.dispatchable }

// updateReady updates a team's dispatchable tasks and its position in the heap
// of ready teams.
func (l *Limiter) updateReady(t *team) {
	for _, pq := range t.queues {
		n := pq.dispatchable()
		l.dispatchable += n - pq.countedDispatchable
		pq.countedDispatchable = n
	}
	ready := t.nextQueue() != nil
	switch {
	case ready && t.position == notQueued:
		heap.Push(&l.ready, t)
	case ready:
		heap.Fix(&l.ready, t.position)
	case t.position != notQueued:
		heap.Remove(&l.ready, t.position)
	}
}

// activate counts a team as active. A team that becomes active again gets no
// credit for the time when it had no tasks.
func (l *Limiter) activate(t *team) {
	if t.active {
		return
	}
	t.active = true
	t.virtualTime = max(t.virtualTime, l.virtualTime)
	l.activeWeight += t.weight
	l.activeTeams++
}

// deactivateIdle no longer counts a team as active when it has no queued or
// running tasks.
func (l *Limiter) deactivateIdle(t *team) {
	if !t.active || t.queued > 0 || t.running > 0 {
		return
	}
	t.active = false
	l.activeWeight -= t.weight
	l.activeTeams--
}

// evictIdle drops the queues and teams without work. A team that has taken more
// than its share is kept until the others have caught up.
func (l *Limiter) evictIdle() {
	for key, pq := range l.queues {
		if pq.idle() {
			delete(l.queues, key)
			pq.team.removeQueue(pq)
		}
	}
	for name, t := range l.teams {
		if len(t.queues) == 0 && (t.virtualTime <= l.virtualTime || len(l.ready) == 0) {
			delete(l.teams, name)
		}
	}
}
