package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// clearingLookWait is how long a look waits while a server is taken over.
const clearingLookWait = 60 * time.Millisecond

// idleLook is how long an idle server isn't looked at. Its clock drifts by less
// than orders may be off in this time.
const idleLook = 6 * time.Second

// look asks a server for its runs. It extends the lease of what runs there,
// but for the first look of a new owner.
func (m *Machine) look(o *ownedServer) {
	m.counters.Looks++
	id := m.newOrder(order{server: o.ID})
	again := o.looking != 0
	o.looking, o.lookedAt = id, m.now
	l := Look{Order: id, Server: o.Server, Token: o.token, Observed: o.observed}
	switch o.phase {
	case phaseReady, phaseReleasing:
		l.Wait = lookWait
	case phaseClaiming, phaseClearing:
		l.Wait = clearingLookWait
	case phaseTaking:
	}
	if len(o.claims) > 0 || len(o.runs) == 0 || !o.clockKnown || again {
		l.Wait = 0
	}
	if o.silent > 0 {
		l.Wait = 0 // and no lease: those of its runs have to lapse at a known time
	} else if o.phase != phaseTaking && len(o.runs) > 0 && o.clockKnown && (m.opts.defects.keepsUnclaimed || !o.holdsUnwanted(m.now)) {
		l.Expires = o.serverNow(m.now) + ServerTime(leaseLength)
	}
	o.leaseEnd = max(o.leaseEnd, l.Expires)
	m.emit(l)
}

const (
	// overdueLook is how long a look may wait for an end until a run that should
	// have ended makes this VM look once more: the answer may be lost.
	overdueLook = 100 * time.Millisecond
	// overdueFactor and overdueSlack say when a run should have ended: estimates are
	// off by 40%, and starts and answers take a while.
	overdueFactor = 1.5
	overdueSlack  = 40 * time.Millisecond
)

// overdue reports whether the end of a run should have been seen by now. It
// answers the load of days on which calls get no answer: what an unseen end
// leaves free is lost for as long as the look is waited for.
func (o *ownedServer) overdue(now time.Time) bool {
	if now.Sub(o.lookedAt) < overdueLook || o.phase != phaseReady {
		return false
	}
	for _, r := range o.runs {
		if r.state == runRunning && now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(r.msg.Estimate))+overdueSlack {
			return true
		}
	}
	return false
}

// holdsUnwanted reports whether a run is there that has to end, and may not. The
// server's lease is not extended then, so that it ends by itself.
func (o *ownedServer) holdsUnwanted(now time.Time) bool {
	for _, r := range o.runs {
		if r.home == (identifier.Member{}) {
			return true
		}
		if r.state == runStopping && r.stoppedAt.IsZero() && now.Sub(r.stopSince) > unheardStop {
			return true
		}
	}
	return false
}

// unheardStop is how long a stop may be without an answer until the server's
// lease is no longer extended: with silenceBound and the lease it stays near the
// time after which a caller sends a job again.
const unheardStop = 150 * time.Millisecond

func (m *Machine) lookAnswered(e LookAnswered) {
	ord, o := m.takeOrder(e.Order)
	if o == nil {
		return
	}
	if o.looking == e.Order {
		o.looking = 0
	}
	switch e.Result.Status {
	case LookOK:
		m.seeRuns(o, ord, e)
	case LookFenced:
		m.loseServer(o, "fenced")
	case LookWrongServer:
		m.resetServer(o, "another process answers")
	case LookUnanswered:
		m.lookFailed(o)
	}
}

// heardFrom records that a server has answered a call that was made after the
// last one without an answer.
func (m *Machine) heardFrom(o *ownedServer) {
	if o.silent == 0 {
		return
	}
	m.record("serverAnswers", "backend", o.ID, "silent", o.silent)
	o.silent = 0
	m.reportDirty = true
}

func (m *Machine) lookFailed(o *ownedServer) {
	if o.silent == 0 {
		m.record("serverSilent", "backend", o.ID, "runs", len(o.runs), "clockAge", m.now.Sub(o.clockAt))
	}
	o.silent++
	o.missedAt = m.now
	o.nextLook = m.now
	if o.silent > 1 {
		o.nextLook = m.now.Add(retryUnreachable)
	}
	m.reportDirty = true
}

// seeRuns takes in what a server says of its runs.
func (m *Machine) seeRuns(o *ownedServer, ord order, e LookAnswered) {
	m.heardFrom(o)
	o.confirmed = true
	m.noteClock(o, e.Clock)
	for _, end := range e.Result.Ended {
		m.seeEnd(o, end)
	}
	active := make(map[identifier.RunRef]bool, len(e.Result.Active))
	for _, a := range e.Result.Active {
		active[a.Run] = true
		m.seeActive(o, a)
	}
	m.seeAbsent(o, ord, active)
	m.answerHeldClaims(o, ord.issued)
	m.advancePhase(o)
	if o.looking == 0 && (len(o.runs) > 0 || len(o.claims) > 0) && m.owned[o.ID] == o {
		m.look(o)
	}
}

func (m *Machine) seeEnd(o *ownedServer, end EndedRun) {
	if end.Number <= o.observed {
		return
	}
	o.observed = end.Number
	r := o.runs[end.Run]
	if r == nil {
		r = &run{ref: end.Run, startedAt: m.now}
	}
	switch end.Ending {
	case EndDone:
		m.endedWell(o, r)
		m.endRun(o, r, peermessenger.RunDone, "")
	case EndFailed:
		m.suspect(o, "its run has failed")
		m.endRun(o, r, peermessenger.RunFailed, "")
	case EndStopped, EndLapsed, EndOther:
		cause := r.stopCause
		if cause == "" {
			cause = "ended by its server"
		}
		m.endRun(o, r, peermessenger.RunStopped, cause)
	}
}

func (m *Machine) seeActive(o *ownedServer, a RunState) {
	r := o.runs[a.Run]
	if r == nil {
		if o.phase == phaseReady || o.phase == phaseReleasing {
			m.record("strayRun", "job", a.Run.Task.Submission, "task", a.Run.Task.Index, "run", a.Run.Number, "backend", o.ID)
		}
		r = &run{ref: a.Run, state: runOrphan, since: m.now, startedAt: m.now, generation: o.generation}
		// What it takes is not known until a home claims it.
		r.msg.Millicores, r.msg.Memory = o.Cores, o.Memory
		m.addRun(o, r)
		if o.phase == phaseReady || o.phase == phaseReleasing {
			m.stop(o, r, "no home has asked for it")
		}
		return
	}
	r.generation = o.generation
	if r.state == runStarting || r.state == runUnknown {
		m.runStarted(o, r)
	}
	r.progress = max(r.progress, a.Progress)
	m.judge(o, r)
}

// seeAbsent ends the runs that should be in a look's answer and are not.
func (m *Machine) seeAbsent(o *ownedServer, ord order, active map[identifier.RunRef]bool) {
	for _, r := range o.sortedRuns() {
		if active[r.ref.OnServer()] {
			continue
		}
		switch r.state {
		case runRunning, runOrphan:
			if r.startedAt.Before(ord.issued) {
				m.endRun(o, r, peermessenger.RunStopped, "its server doesn't know it any more")
			}
		case runStopping:
			if !r.stoppedAt.IsZero() && r.stoppedAt.Before(ord.issued) {
				m.endRun(o, r, peermessenger.RunStopped, r.stopCause)
			}
		case runStarting, runUnknown:
		}
	}
}

// noteClock takes in the time and the generation that an answer tells. A new
// generation knows nothing of the runs that an earlier one had.
func (m *Machine) noteClock(o *ownedServer, c ServerClock) {
	if !c.Known {
		return
	}
	o.clock, o.clockAt, o.clockKnown = c.Now, m.now, true
	if o.leaseEnd == 0 || c.Generation != o.generation {
		// Another owner, or an order on the clock of an earlier generation, may
		// have asked for the longest lease just now.
		o.leaseEnd = c.Now + ServerTime(m.opts.Bounds.LongestLease)
	}
	if c.Generation == 0 || c.Generation == o.generation {
		return
	}
	if o.generation != 0 {
		m.record("serverRestarted", "backend", o.ID, "runs", len(o.runs), "generation", c.Generation, "earlier", o.generation)
		o.observed = 0
		m.reportDirty = true
	}
	o.generation = c.Generation
	for _, r := range o.sortedRuns() {
		if r.generation != 0 && r.generation != c.Generation {
			m.endRun(o, r, peermessenger.RunStopped, "its server has restarted")
		}
	}
}

// resetServer drops all runs of a server that has lost them.
func (m *Machine) resetServer(o *ownedServer, cause string) {
	m.record("serverReset", "backend", o.ID, "cause", cause, "runs", len(o.runs), "generation", o.generation)
	for _, r := range o.sortedRuns() {
		m.endRun(o, r, peermessenger.RunStopped, cause)
	}
	o.generation, o.observed, o.leaseEnd, o.clockKnown = 0, 0, 0, false
	o.phase = phaseTaking
	o.nextLook = m.now.Add(retryUnreachable)
	m.reportDirty = true
}

// tickOwned looks, stops and gives up where it is time.
func (m *Machine) tickOwned() {
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		m.tickRuns(o)
		m.advancePhase(o)
		if m.owned[id] != o {
			continue
		}
		if o.looking != 0 && o.overdue(m.now) {
			m.look(o)
			continue
		}
		if o.looking != 0 || m.now.Before(o.nextLook) {
			continue
		}
		idle := m.now.Sub(o.clockAt) > idleLook
		if len(o.runs) > 0 || o.phase != phaseReady || o.silent > 0 || !o.clockKnown || idle || len(o.claims) > 0 {
			m.look(o)
		}
	}
}

func (m *Machine) tickRuns(o *ownedServer) {
	lapsed := o.silent > 0 && o.clockKnown && o.lapsed(m.now)
	for _, r := range o.sortedRuns() {
		switch {
		case lapsed && r.state != runStarting:
			m.endRun(o, r, peermessenger.RunStopped, "its lease has lapsed on a silent server")
		case r.state == runStopping && r.stoppedAt.IsZero() && (r.stopOrder != 0 || !m.now.Before(r.nextStop)):
			m.stop(o, r, r.stopCause)
		}
	}
}
