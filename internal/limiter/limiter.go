// Package limiter decides which jobs are admitted, and in which order the tasks
// of admitted jobs are dispatched.
//
// A job is admitted or refused as a whole. The slots are divided between teams
// by weighted fair queueing over slot time, within the teams' quotas. A Limiter
// is deterministic: it reads no clock, and its randomness comes from the
// generator handed in. It is not safe for concurrent use.
package limiter

import (
	"container/heap"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// priorityLead is how much earlier than it came a job counts as come, for each
// level of its priority.
const priorityLead = 500 * time.Millisecond

// Limiter admits jobs and orders their tasks.
type Limiter struct {
	opts       Options
	teams      map[identifier.Team]*team
	lanes      map[laneKey]*lane
	jobs       map[identifier.SubmissionID]*job
	ready      teamHeap
	virtual    float64 // of the team that was served last
	weights    float64 // of the active teams together
	active     int     // teams with queued or running tasks
	capacity   identifier.Slots
	members    int // entry VMs that share the capacity
	division   division
	earlier    division // before the last change
	settledAt  time.Time
	settling   []*lane                                         // whose new share is not in force yet
	askAt      time.Time                                       // of the next look for lanes that need a greater share
	gifts      []pendingGift                                   // not confirmed
	debts      []*lane                                         // that owe a part of their share
	confirms   map[identifier.Member][]peermessenger.QuotaWish // for the next message to a giver
	lost       map[identifier.Member]bool                      // other VMs that can't be reached
	queued     int                                             // tasks
	queuedWork time.Duration
	running    identifier.Slots // dispatched tasks that have not ended
	runWork    time.Duration    // expected of the running tasks
	retries    tokenBucket

	dispatchable identifier.Slots // queued tasks that their quotas let run now
	parked       []parkedTask     // returned tasks that the budget of repeated starts holds back
}

// New returns a Limiter without capacity: it refuses all work until SetCapacity.
func New(opts Options) *Limiter {
	opts = opts.withDefaults()
	return &Limiter{
		opts:     opts,
		teams:    make(map[identifier.Team]*team),
		lanes:    make(map[laneKey]*lane),
		jobs:     make(map[identifier.SubmissionID]*job),
		members:  1,
		confirms: make(map[identifier.Member][]peermessenger.QuotaWish),
		lost:     make(map[identifier.Member]bool),
		retries:  newTokenBucket(),
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

// reorder brings a team's place among the ready teams up to date.
func (l *Limiter) reorder(t *team) {
	for _, ln := range t.lanes {
		n := ln.dispatchable()
		l.dispatchable += n - ln.counted
		ln.counted = n
	}
	ready := t.first() != nil
	switch {
	case ready && t.position == notQueued:
		heap.Push(&l.ready, t)
	case ready:
		heap.Fix(&l.ready, t.position)
	case t.position != notQueued:
		heap.Remove(&l.ready, t.position)
	}
}

// activate counts a team with work among the active ones. A team that comes
// back gets no credit for the time when it asked for nothing.
func (l *Limiter) activate(t *team) {
	if t.active {
		return
	}
	t.active = true
	t.virtual = max(t.virtual, l.virtual)
	l.weights += t.weight
	l.active++
}

// settle drops a team from the active ones when it has no work.
func (l *Limiter) settle(t *team) {
	if !t.active || t.queued > 0 || t.running > 0 {
		return
	}
	t.active = false
	l.weights -= t.weight
	l.active--
}

// forgetIdle drops the lanes and teams without work. A team that has taken
// more than its share is kept until the others have caught up.
func (l *Limiter) forgetIdle() {
	for key, ln := range l.lanes {
		if ln.idle() {
			delete(l.lanes, key)
			ln.team.drop(ln)
		}
	}
	for name, t := range l.teams {
		if len(t.lanes) == 0 && (t.virtual <= l.virtual || len(l.ready) == 0) {
			delete(l.teams, name)
		}
	}
}
