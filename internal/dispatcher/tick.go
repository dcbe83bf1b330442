package dispatcher

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/claimer"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/limiter"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/quarantiner"
)

// tick does what is due.
func (m *Machine) tick(now time.Time) {
	m.endOverdue(now)
	m.endWaits(now)
	m.flushStops()
	m.tickForwards(now)
	m.claimerStep(now, claimer.Tick{})
	m.quarantineStep(now, quarantiner.Tick{})
	m.placerStep(now, placer.Tick{})
	m.limiterStep(now, limiter.Tick{})
	m.limiter.SetCapacity(now, m.placer.Slots(now))
	m.forgetLost(now)
	m.pump(now)
	m.checkDrained()
}

// endOverdue ends the jobs whose deadline has passed.
func (m *Machine) endOverdue(now time.Time) {
	for {
		d, ok := m.deadlines.due(now)
		if !ok {
			return
		}
		j, ok := m.jobs[d.submission]
		if !ok || !j.deadline.Equal(d.at) {
			continue
		}
		m.overdue(now, j)
	}
}

func (m *Machine) overdue(now time.Time, j *runningJob) {
	if j.started() && !m.opts.defects.refuseStarted {
		m.fail(now, j, declarer.DeadlineExceeded, "the deadline passed before every task had ended")
		return
	}
	m.end(now, j, declarer.Refused{Cause: declarer.DeadlineTooShort, Detail: "the deadline passed before any task could start"})
}

// endWaits answers the fetches whose wait is over with the status so far.
func (m *Machine) endWaits(now time.Time) {
	m.waits = slices.DeleteFunc(m.waits, func(id identifier.SubmissionID) bool {
		j, ok := m.jobs[id]
		return !ok || !m.endJobWaits(now, j)
	})
}

// endJobWaits reports whether a bounded wait for the job is left.
func (m *Machine) endJobWaits(now time.Time, j *runningJob) (left bool) {
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if w.until.IsZero() {
			return false
		}
		if now.Before(w.until) {
			left = true
			return false
		}
		m.reply(w.requester, j.status())
		return true
	})
	return left
}

// flushStops sends the stops that came up since the last tick, one message a
// backend server.
func (m *Machine) flushStops() {
	if len(m.stops) == 0 {
		return
	}
	ids := make([]identifier.BackendID, 0, len(m.stops))
	for id := range m.stops {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if address, ok := m.addresses[id]; ok {
			m.opts.Counters.StopRequests.Add(1)
			m.emit(StopTasks{Backend: id, Address: address, Refs: m.stops[id]})
		}
	}
	clear(m.stops)
}
