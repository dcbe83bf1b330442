package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// takeoverPollWait is how long a poll waits for an end while a server is taken
// over.
const takeoverPollWait = 60 * time.Millisecond

// idlePollInterval is the longest time between two polls of an idle server. In
// this time the estimate of its clock falls behind by at most 120 ms (clockDrift),
// so that a start still extends the lease by 580 ms or more.
const idlePollInterval = 6 * time.Second

// poll asks a server for its runs. It extends the server's lease unless the
// takeover's first poll is not answered yet, no run is known there, the server's
// clock is unknown, unansweredCalls is above 0, or mustNotExtendLease holds.
func (m *Machine) poll(o *ownedServer) {
	m.counters.Polls++
	id := m.registerCall(serverCall{server: o.ID})
	repeated := o.openPoll != 0
	o.openPoll, o.polledAt = id, m.now
	p := Poll{Call: id, Server: o.Server, Token: o.token, LastSeenEnd: o.lastSeenEnd}
	switch o.phase {
	case phaseReady, phaseReleasing:
		p.Wait = pollWait
		if m.losesCalls() {
			p.Wait = min(p.Wait, o.untilNextEnd(m.now)+lossyPollMargin)
		}
	case phaseClaiming, phaseClearing:
		p.Wait = takeoverPollWait
	case phaseTaking:
	}
	if len(o.pendingClaims) > 0 || len(o.runs) == 0 || !o.clockKnown || repeated || o.awaitsAbsence() {
		p.Wait = 0
	}
	if o.unansweredCalls > 0 {
		p.Wait = 0 // and no extension: the server's lease must lapse at a known time
	} else if o.phase != phaseTaking && len(o.runs) > 0 && o.clockKnown && (m.opts.defects.extendUnclaimed || !o.mustNotExtendLease(m.now)) {
		p.Expires = o.serverNow(m.now) + ServerTime(leaseDuration)
	}
	o.leaseEnd = max(o.leaseEnd, p.Expires)
	p.Timeout = p.Wait + maxPollSlack
	if m.losesCalls() || p.Wait == 0 && o.confirmed {
		p.Timeout = p.Wait + m.startAnswers.timeout()
	}
	m.emit(p)
}

const (
	// maxPollSlack is how long a poll's answer may take beyond the wait if no calls
	// have been lost lately.
	maxPollSlack = 200 * time.Millisecond
	// lossyPollMargin is how long a poll waits beyond the expected end of a run while
	// calls are lost.
	lossyPollMargin = 10 * time.Millisecond
	// lossyTime is how long calls count as lossy after a server has answered again.
	lossyTime = 3 * time.Second
)

// losesCalls reports whether servers that live have left calls of this VM unanswered
// lately. Polls then end soon after a run should have ended: if one is lost, its end is
// seen by the next.
func (m *Machine) losesCalls() bool { return m.now.Before(m.callsLostUntil) }

// awaitsAbsence reports whether a poll should show that a run is not on the server whose
// start timed out. It has no end to wait for.
func (o *ownedServer) awaitsAbsence() bool {
	for _, r := range o.runs {
		if r.state == runStopping && r.startUnanswered() && !r.stoppedAt.IsZero() {
			return true
		}
	}
	return false
}

// untilNextEnd returns the time until the first run on the server should end.
func (o *ownedServer) untilNextEnd(now time.Time) time.Duration {
	until := pollWait
	for _, r := range o.runs {
		if r.state == runRunning {
			until = min(until, max(r.startedAt.Add(r.msg.Estimate).Sub(now), 0))
		}
	}
	return until
}

const (
	// overduePollAge is how long a poll may wait for an end before an overdue run
	// makes this VM poll once more: the answer may have been lost.
	overduePollAge = 100 * time.Millisecond
	// overdueFactor and overdueSlack determine when a run is overdue: estimates
	// are off by 40%, and starts and answers take some time.
	overdueFactor = 1.5
	overdueSlack  = 40 * time.Millisecond
)

// hasOverdueRun reports whether the end of a run should have been seen by now.
// When answers are lost, the capacity that an unseen end frees would otherwise
// stay unused for the rest of the poll.
func (o *ownedServer) hasOverdueRun(now time.Time) bool {
	if now.Sub(o.polledAt) < overduePollAge || o.phase != phaseReady {
		return false
	}
	for _, r := range o.runs {
		if r.state == runRunning && now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(r.msg.Estimate))+overdueSlack {
			return true
		}
	}
	return false
}

// mustNotExtendLease reports whether the server's lease must not be extended,
// because it holds a run that no home has claimed yet, one that its home may have
// given up, or one whose stop the server may not have received. Such a run ends when
// the lease lapses.
func (o *ownedServer) mustNotExtendLease(now time.Time) bool {
	for _, r := range o.runs {
		if r.home == (identifier.Member{}) || r.mayBeRerun {
			return true
		}
		if r.state == runStopping && r.stoppedAt.IsZero() && now.Sub(r.stopSince) > unansweredStopBound {
			return true
		}
	}
	return false
}

// unansweredStopBound is how long a stop may stay unanswered before the
// server's lease is no longer extended. The sum of it, silenceBound and the
// lease is close to the time after which a caller submits a job again.
const unansweredStopBound = 150 * time.Millisecond

func (m *Machine) handlePollAnswered(e PollAnswered) {
	call, o := m.closeCall(e.Call)
	if o == nil {
		return
	}
	if o.openPoll == e.Call {
		o.openPoll = 0
	}
	switch e.Result.Status {
	case PollOK:
		m.applyPollResult(o, call, e)
	case PollFenced:
		m.loseOwnership(o, "fenced")
	case PollWrongServer:
		m.resetServer(o, "another process answers")
	case PollUnanswered:
		m.handleFailedPoll(o)
	case PollRefused:
		m.recordGone(o)
		m.handleFailedPoll(o)
	}
}

// recordGone records that nothing listens at a server's address.
func (m *Machine) recordGone(o *ownedServer) {
	if !o.goneSince.IsZero() {
		return
	}
	o.goneSince = m.now
	m.counters.ServersGone++
	m.logDecision("serverGone", "backend", o.ID, "leaving", o.Leaving, "generation", o.generation, "runs", o.runNames(), "clockAge", m.now.Sub(o.clockAt))
	m.recordLostRuns(o, (*run).mayHaveStarted)
}

// resetUnansweredCalls resets the count of unanswered calls of a server that
// answers again.
func (m *Machine) resetUnansweredCalls(o *ownedServer) {
	o.goneSince = time.Time{}
	if o.unansweredCalls == 0 {
		return
	}
	m.logDecision("serverAnswers", "backend", o.ID, "silent", o.unansweredCalls)
	m.callsLostUntil = m.now.Add(lossyTime)
	o.unansweredCalls = 0
	m.reportChanged = true
}

func (m *Machine) handleFailedPoll(o *ownedServer) {
	if o.unansweredCalls == 0 {
		m.logDecision("serverSilent", "backend", o.ID, "runs", len(o.runs), "gone", !o.goneSince.IsZero(), "clockAge", m.now.Sub(o.clockAt))
	}
	o.unansweredCalls++
	o.lastUnansweredAt = m.now
	o.nextPollAt = m.now.Add(retryDelay)
	m.reportChanged = true
	if o.unansweredCalls <= maxQuickCalls && o.openPoll == 0 {
		m.poll(o)
	}
}

// maxQuickCalls is the number of unanswered calls in a row after which the next poll
// waits for retryDelay: calls to a server that lives are rarely lost that often.
const maxQuickCalls = 4

// applyPollResult updates a server's runs from the answer to a poll.
func (m *Machine) applyPollResult(o *ownedServer, call serverCall, e PollAnswered) {
	m.resetUnansweredCalls(o)
	o.confirmed = true
	m.updateClock(o, e.Clock)
	for _, end := range e.Result.Ended {
		m.applyEndedRun(o, end)
	}
	active := make(map[identifier.RunRef]bool, len(e.Result.Active))
	for _, a := range e.Result.Active {
		active[a.Run] = true
		m.applyActiveRun(o, a)
	}
	m.endAbsentRuns(o, call, active)
	m.answerPendingClaims(o, call.issued)
	m.advancePhase(o)
	if o.openPoll == 0 && (len(o.runs) > 0 || len(o.pendingClaims) > 0) && m.owned[o.ID] == o {
		m.poll(o)
	}
}

func (m *Machine) applyEndedRun(o *ownedServer, end EndedRun) {
	if end.Sequence <= o.lastSeenEnd {
		return
	}
	o.lastSeenEnd = end.Sequence
	r := o.runs[end.Run]
	if r == nil {
		r = &run{ref: end.Run, startedAt: m.now}
	}
	switch end.Ending {
	case EndDone:
		m.recordCompletedRun(o, r)
		m.endRun(o, r, peermessenger.RunDone, "")
	case EndFailed:
		m.recordRunFailure(o, r, "its run failed")
		m.endRun(o, r, peermessenger.RunFailed, "")
	case EndStopped, EndLapsed, EndOther:
		cause := r.stopCause
		if cause == "" {
			cause = "ended by its server"
		}
		m.endRun(o, r, peermessenger.RunStopped, cause)
	}
}

func (m *Machine) applyActiveRun(o *ownedServer, a ActiveRun) {
	r := o.runs[a.Run]
	if r == nil {
		if o.phase == phaseReady || o.phase == phaseReleasing {
			m.logDecision("strayRun", "job", a.Run.Task.Submission, "task", a.Run.Task.Index, "run", a.Run.Number, "backend", o.ID)
		}
		r = &run{ref: a.Run, state: runFound, knownSince: m.now, startedAt: m.now, generation: o.generation}
		// Its demand is unknown until a home claims it.
		r.msg.Millicores, r.msg.Memory = o.Cores, o.Memory
		m.addRun(o, r)
		if o.phase == phaseReady || o.phase == phaseReleasing {
			m.stopRun(o, r, "no home has asked for it")
		}
		return
	}
	r.generation = o.generation
	if r.state == runStarting || r.state == runUnanswered {
		m.markRunning(o, r)
	}
	r.progress = max(r.progress, a.Progress)
	m.stopIfLagging(o, r)
}

// endAbsentRuns ends the runs that a poll's answer should list but doesn't.
func (m *Machine) endAbsentRuns(o *ownedServer, call serverCall, active map[identifier.RunRef]bool) {
	for _, r := range o.sortedRuns() {
		if active[r.ref.OnServer()] {
			continue
		}
		switch r.state {
		case runRunning, runFound:
			if r.startedAt.Before(call.issued) {
				m.endRun(o, r, peermessenger.RunStopped, "its server doesn't know it any more")
			}
		case runStopping:
			if !r.stoppedAt.IsZero() && call.id > r.callBeforeStop {
				m.endRun(o, r, peermessenger.RunStopped, r.stopCause)
			}
		case runUnanswered:
			if !call.issued.Before(r.unansweredAt) {
				m.stopRun(o, r, "the start got no answer") // it may still arrive
			}
		case runStarting:
		}
	}
}

// updateClock records the time and the generation in a server's answer. A new
// generation has lost the runs of the earlier one.
func (m *Machine) updateClock(o *ownedServer, c ServerClock) {
	if !c.Known {
		return
	}
	o.clock, o.clockAt, o.clockKnown = c.Now, m.now, true
	if o.leaseEnd == 0 || c.Generation != o.generation {
		// Another owner, or a call with an expiry on the clock of an earlier
		// generation, may have asked for the longest lease just now.
		o.leaseEnd = c.Now + ServerTime(m.opts.Bounds.LongestLease)
	}
	if c.Generation == 0 || c.Generation == o.generation {
		return
	}
	if o.generation != 0 {
		m.logDecision("serverRestarted", "backend", o.ID, "runs", len(o.runs), "generation", c.Generation, "earlier", o.generation)
		o.lastSeenEnd = 0
		m.reportChanged = true
	}
	o.generation = c.Generation
	ofEarlier := func(r *run) bool { return r.generation != 0 && r.generation != c.Generation }
	m.recordLostRuns(o, ofEarlier)
	for _, r := range o.sortedRuns() {
		if ofEarlier(r) {
			m.endLostRun(o, r, peermessenger.ServerCrashed, "its server has restarted")
		}
	}
}

// resetServer ends all runs of a server that has lost them, and starts the
// takeover of its new process.
func (m *Machine) resetServer(o *ownedServer, cause string) {
	m.logDecision("serverReset", "backend", o.ID, "cause", cause, "runs", len(o.runs), "generation", o.generation)
	m.recordLostRuns(o, (*run).mayHaveStarted)
	for _, r := range o.sortedRuns() {
		if r.mayHaveStarted() {
			m.endLostRun(o, r, peermessenger.ServerCrashed, cause)
		} else {
			m.endRun(o, r, peermessenger.RunStopped, cause)
		}
	}
	o.generation, o.lastSeenEnd, o.leaseEnd, o.clockKnown = 0, 0, 0, false
	o.phase = phaseTaking
	o.nextPollAt = m.now.Add(retryDelay)
	m.reportChanged = true
}

// tickServers polls servers, repeats stops and advances phases when they are
// due.
func (m *Machine) tickServers() {
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		m.tickRuns(o)
		m.advancePhase(o)
		if m.owned[id] != o {
			continue
		}
		if o.openPoll != 0 && o.hasOverdueRun(m.now) {
			m.poll(o)
			continue
		}
		if o.openPoll != 0 || m.now.Before(o.nextPollAt) {
			continue
		}
		idle := m.now.Sub(o.clockAt) > idlePollInterval
		if len(o.runs) > 0 || o.phase != phaseReady || o.unansweredCalls > 0 || !o.clockKnown || idle || m.unguarded(o.Pool) && o.listsLaterProcess() || len(o.pendingClaims) > 0 {
			m.poll(o)
		}
	}
}

// unansweredStartGrace is how long a poll may take to show whether a start that timed out
// was carried out, before the run is stopped in any case.
const unansweredStartGrace = 50 * time.Millisecond

func (m *Machine) tickRuns(o *ownedServer) {
	lapsed := o.unansweredCalls > 0 && o.clockKnown && o.leaseLapsed(m.now)
	for _, r := range o.sortedRuns() {
		switch {
		case lapsed && r.state != runStarting:
			m.endLostRun(o, r, o.lossCause(), "its lease has lapsed on a silent server")
		case r.state == runUnanswered && m.now.Sub(r.unansweredAt) >= unansweredStartGrace:
			m.stopRun(o, r, "the start got no answer")
		case r.state == runStopping && r.stoppedAt.IsZero() && (r.stopCall != 0 || !m.now.Before(r.stopRetryAt)):
			m.stopRun(o, r, r.stopCause)
		}
	}
}
