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

// tick does the work that has become due since the last tick.
func (m *Machine) tick(now time.Time) {
	m.tickProfilesCheck(now)
	m.endOverdueJobs(now)
	m.answerExpiredWaits(now)
	m.flushStops()
	m.retryForwards(now)
	m.stepClaimer(now, claimer.Tick{})
	m.stepQuarantiner(now, quarantiner.Tick{})
	m.stepPlacer(now, placer.Tick{})
	m.stepLimiter(now, limiter.Tick{})
	m.limiter.SetCapacity(now, m.placer.AcceptingSlots(now))
	m.forgetUnlinkedPeers(now)
	m.startQueued(now)
	m.checkDrained()
}

// endOverdueJobs ends the jobs whose deadline has passed.
func (m *Machine) endOverdueJobs(now time.Time) {
	for {
		d, ok := m.deadlines.popDue(now)
		if !ok {
			return
		}
		j, ok := m.jobs[d.submission]
		if !ok || !j.deadline.Equal(d.at) {
			continue
		}
		m.endOverdueJob(now, j)
	}
}

func (m *Machine) endOverdueJob(now time.Time, j *activeJob) {
	if j.started() && !m.opts.defects.refuseStarted {
		m.failJob(now, j, declarer.DeadlineExceeded, "the deadline passed before every task had ended")
		return
	}
	m.endJob(now, j, declarer.Refused{Cause: declarer.DeadlineTooShort, Detail: "the deadline passed before any task could start"})
}

// answerExpiredWaits answers the fetches whose wait has expired with the current
// status.
func (m *Machine) answerExpiredWaits(now time.Time) {
	m.boundedWaits = slices.DeleteFunc(m.boundedWaits, func(id identifier.SubmissionID) bool {
		j, ok := m.jobs[id]
		return !ok || !m.answerExpiredJobWaits(now, j)
	})
}

// answerExpiredJobWaits answers the expired waits for a job and reports whether a
// bounded one is left.
func (m *Machine) answerExpiredJobWaits(now time.Time, j *activeJob) (left bool) {
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

// flushStops sends the stops scheduled since the last tick, one message per
// backend server.
func (m *Machine) flushStops() {
	if len(m.pendingStops) == 0 {
		return
	}
	ids := make([]identifier.BackendID, 0, len(m.pendingStops))
	for id := range m.pendingStops {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if address, ok := m.addresses[id]; ok {
			m.opts.Counters.StopRequests.Add(1)
			m.emit(StopTasks{Backend: id, Address: address, Refs: m.pendingStops[id]})
		}
	}
	clear(m.pendingStops)
}
