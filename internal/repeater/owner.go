package repeater

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// causeSuperseded is the cause of an ending after which a home increases the
// run number by supersededIncrement.
const causeSuperseded = "superseded"

// serverCall is a call to a backend server that has not been answered yet.
type serverCall struct {
	id     CallID
	server identifier.BackendID
	token  identifier.FencingToken
	run    identifier.RunRef
	queued *queuedTask // only of a start
	issued time.Time
}

// endedRun records how a run ended, for its home.
type endedRun struct {
	home       identifier.Member // empty: the run was found ended at takeover
	msg        peermessenger.TaskEnded
	at         time.Time
	generation identifier.Generation // of its server; 0: unknown
}

func (m *Machine) registerCall(call serverCall) CallID {
	m.lastCall++
	call.id, call.issued = m.lastCall, m.now
	call.token = m.owned[call.server].token
	m.calls[m.lastCall] = call
	return m.lastCall
}

// closeCall removes an open call and returns it and the server that it went to,
// which is nil when the server was given up since.
func (m *Machine) closeCall(id CallID) (serverCall, *ownedServer) {
	call, ok := m.calls[id]
	if !ok {
		return serverCall{}, nil
	}
	delete(m.calls, id)
	o := m.owned[call.server]
	if o == nil || o.token != call.token {
		return call, nil
	}
	return call, o
}

func (m *Machine) handleStartAnswered(e StartAnswered) {
	call, o := m.closeCall(e.Call)
	if !call.issued.IsZero() && e.Result != StartNotSent {
		m.startAnswers.add(m.now.Sub(call.issued)) // without an answer, the least time that it would have taken
	}
	if o == nil {
		m.handleStaleStart(call, e.Result)
		return
	}
	r := o.runs[call.run.OnServer()]
	if r != nil && e.Result == StartAccepted {
		r.generation = e.Clock.Generation
	}
	m.updateClock(o, e.Clock)
	if r == nil || r.ref != call.run || o.runs[call.run.OnServer()] != r {
		return // a poll has already shown its end
	}
	if e.Result == StartAccepted {
		m.markRunning(o, r)
		return
	}
	if r.state == runRunning {
		return // a poll has shown that it runs
	}
	m.logDecision("startRefused", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID, "result", e.Result, "took", m.now.Sub(call.issued))
	if e.Result == StartUnanswered {
		m.counters.StartsFailed++
		o.unansweredCalls++
		o.lastUnansweredAt = m.now
		if !o.goneSince.IsZero() {
			m.recordLostRun(o, r, peermessenger.ServerCrashed)
		}
		if r.state == runStarting {
			r.state, r.unansweredAt = runUnanswered, m.now
			m.poll(o) // shows whether it runs
		}
		return
	}
	m.dropRun(o, r)
	m.reportChanged = true
	m.handleRefusedStart(o, call, r, e.Result)
}

// handleRefusedStart handles a start that the server has certainly not carried
// out.
func (m *Machine) handleRefusedStart(o *ownedServer, call serverCall, r *run, result StartResult) {
	stopped := r.state == runStopping
	switch result {
	case StartNoRoom:
		o.fullUntil = m.now.Add(noRoomPause)
		o.nextPollAt = m.now
		if len(o.runs) == 0 && o.openPoll == 0 {
			m.poll(o)
		}
	case StartFenced:
		defer m.loseOwnership(o, "fenced")
	case StartExpired:
		o.clockKnown = false
		o.nextPollAt = m.now
	case StartNotSent:
		o.unansweredCalls++
		o.lastUnansweredAt = m.now
		o.nextPollAt = m.now
	case StartUnhealthy:
		m.recordServerFailure(o, "unhealthy")
	case StartWrongServer:
		defer m.resetServer(o, "another process answers")
	case StartSuperseded:
		m.endRun(o, r, peermessenger.RunNotStarted, causeSuperseded)
		return
	case StartInvalid, StartNoTicket:
		m.endRun(o, r, peermessenger.RunRejected, result.String())
		return
	case StartAccepted, StartUnanswered:
	}
	if stopped {
		m.endRun(o, r, peermessenger.RunNotStarted, r.stopCause)
		return
	}
	call.queued.home = r.home
	m.requeue(call.queued, result.String())
}

// noRoomPause is how long a server that refused a start for lack of room gets
// no further start: a poll and the usual time between two ends of runs on one
// server.
const noRoomPause = 40 * time.Millisecond

// handleStaleStart handles the outcome of a start on a server that was given up
// meanwhile. If the run may have started, its home claims it from the server's
// next owner.
func (m *Machine) handleStaleStart(call serverCall, result StartResult) {
	if call.queued == nil {
		return
	}
	switch result {
	case StartAccepted, StartUnanswered:
		m.sendMessage(call.queued.home, peermessenger.TaskPlaced{Run: call.run, Backend: call.server, Token: call.token})
	default:
		m.sendMessage(call.queued.home, peermessenger.TaskEnded{Run: call.run, Ending: peermessenger.RunNotStarted, Cause: result.String()})
	}
}

func (m *Machine) markRunning(o *ownedServer, r *run) {
	if r.state != runStarting && r.state != runUnanswered {
		return
	}
	r.state = runRunning
	r.startedAt = m.now
	m.sendMessage(r.home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
	if o.openPoll == 0 {
		m.poll(o)
	}
}

// endRun removes a run that has ended or never started, and tells its home.
func (m *Machine) endRun(o *ownedServer, r *run, ending peermessenger.RunEnding, cause string) {
	m.reportEnd(o, r, peermessenger.TaskEnded{Run: r.ref, Backend: o.ID, Ending: ending, Cause: cause})
}

// endLostRun removes a run that was lost with its server, and tells its home.
func (m *Machine) endLostRun(o *ownedServer, r *run, loss peermessenger.LossCause, cause string) {
	msg := peermessenger.TaskEnded{Run: r.ref, Backend: o.ID, Ending: peermessenger.RunStopped, Cause: cause}
	if lost, ok := m.recordLostRun(o, r, loss); ok {
		msg.Loss = &lost
	}
	m.reportEnd(o, r, msg)
}

func (m *Machine) reportEnd(o *ownedServer, r *run, msg peermessenger.TaskEnded) {
	m.dropRun(o, r)
	m.reportChanged = true
	if !r.startedAt.IsZero() {
		msg.Elapsed = m.now.Sub(r.startedAt)
	}
	m.ended[r.ref] = endedRun{home: r.home, msg: msg, at: m.now, generation: o.generation}
	if r.home == (identifier.Member{}) {
		return
	}
	m.sendMessage(r.home, msg)
}

// stopRun tells a server to stop a run, or never to start it.
func (m *Machine) stopRun(o *ownedServer, r *run, cause string) {
	if r.state == runStopping && (!r.stoppedAt.IsZero() || r.stopCall != 0 && (o.unansweredCalls > 1 || m.now.Sub(r.stopSentAt) < stopResendAfter)) {
		return // the stop was accepted, or is open at a server that answers no calls or got it just now
	}
	r.stopSentAt = m.now
	if r.state != runStopping {
		m.counters.Stops++
		m.logDecision("runStopped", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID, "cause", cause, "age", m.now.Sub(r.knownSince))
		r.state, r.stopCause, r.stopSince = runStopping, cause, m.now
	}
	r.stopCall = m.registerCall(serverCall{server: o.ID, run: r.ref})
	timeout := stopTimeout
	if r.startUnanswered() {
		timeout = m.startAnswers.timeout() // the server has probably nothing to stop
	}
	m.emit(StopRun{Call: r.stopCall, Server: o.Server, Token: o.token, Run: r.ref, Timeout: timeout})
}

const (
	// stopTimeout bounds a call to stop a run, which takes up to 50 ms of work besides
	// the round trip.
	stopTimeout = 250 * time.Millisecond
	// stopResendAfter is how long a stop waits for its answer before it is sent
	// once more: longer than a server takes to stop a run.
	stopResendAfter = 80 * time.Millisecond
	// stopRetryDelay is the pause before a stop that timed out is sent again.
	stopRetryDelay = 100 * time.Millisecond
)

func (m *Machine) handleStopAnswered(e StopAnswered) {
	call, o := m.closeCall(e.Call)
	if o == nil {
		return
	}
	m.updateClock(o, e.Clock)
	r := o.runs[call.run.OnServer()]
	if r == nil {
		return
	}
	if r.stopCall == e.Call {
		r.stopCall = 0
	}
	switch e.Result {
	case StopAccepted:
		if !call.issued.Before(o.lastUnansweredAt) {
			m.resetUnansweredCalls(o) // a call made after the last one that timed out
		}
		r.stoppedAt, r.callBeforeStop = m.now, m.lastCall
		if o.openPoll == 0 || r.startUnanswered() {
			m.poll(o) // the task can start elsewhere once this poll doesn't list it
		}
		o.nextPollAt = m.now
	case StopFenced:
		m.loseOwnership(o, "fenced")
	case StopWrongServer:
		m.resetServer(o, "another process answers")
	case StopUnanswered:
		r.stopRetryAt = m.now.Add(stopRetryDelay)
		if r.startUnanswered() && r.stopCall == 0 && o.unansweredCalls <= maxQuickCalls {
			m.stopRun(o, r, r.stopCause)
		}
	}
}

// stopRunsOfHome drops the queued tasks of a lost home and stops the runs of its
// jobs on the servers of this VM.
func (m *Machine) stopRunsOfHome(home identifier.Member) {
	m.queue = slices.DeleteFunc(m.queue, func(q *queuedTask) bool { return q.home == home })
	for o, r := range m.allRuns() {
		if r.home == home {
			m.stopRun(o, r, "its home is lost")
		}
	}
}

// giveUpRuns stops the runs of other homes on a server after a pause of this VM.
// Their homes have not heard it meanwhile, and what it now reads from them may have
// waited through the pause, so that neither shows whether they still wait.
func (m *Machine) giveUpRuns(o *ownedServer) {
	for _, r := range o.sortedRuns() {
		if r.home != m.opts.Self {
			r.mayBeRerun = true
			m.stopRun(o, r, "its owner was paused")
		}
	}
}

// cancelRuns drops or stops runs that their home no longer waits for.
func (m *Machine) cancelRuns(home identifier.Member, refs []identifier.RunRef) {
	for _, ref := range refs {
		before := len(m.queue)
		m.queue = slices.DeleteFunc(m.queue, func(q *queuedTask) bool { return q.msg.Run == ref && q.home == home })
		if len(m.queue) < before {
			m.reportChanged = true
			continue
		}
		for _, id := range m.ownedIDs() {
			o := m.owned[id]
			if r := o.runs[ref.OnServer()]; r != nil && r.ref == ref && r.home == home {
				m.stopRun(o, r, "nobody waits for it")
			}
		}
	}
}

// resendEndings repeats to a home the endings that a lost link may have lost.
func (m *Machine) resendEndings(home identifier.Member) {
	for _, ref := range slices.SortedFunc(maps.Keys(m.ended), compareRuns) {
		if e := m.ended[ref]; e.home == home {
			m.sendMessage(home, e.msg)
		}
	}
}

// recordRunFailure counts a failed or lagging run against its server, unless an earlier run
// of the task has failed or lagged on another one: then the task is the likely cause.
func (m *Machine) recordRunFailure(o *ownedServer, r *run, cause string) {
	if len(r.msg.Avoid) == 0 {
		m.recordServerFailure(o, cause)
	}
}

// recordServerFailure counts a failure of a server. failuresToSuspend
// consecutive ones suspend it.
func (m *Machine) recordServerFailure(o *ownedServer, cause string) {
	o.failuresInRow++
	if o.failuresInRow < failuresToSuspend {
		return
	}
	m.suspendServer(o, cause, firstSuspension)
}

// suspendServer gives a server no work for a time that doubles with each
// suspension. Then the server is on probation, with one run at a time, until a
// run succeeds.
func (m *Machine) suspendServer(o *ownedServer, cause string, first time.Duration) {
	if m.now.Before(o.suspendedUntil) {
		return // the failed run started before the suspension
	}
	o.suspension = min(max(2*o.suspension, first), maxSuspension)
	o.suspendedUntil = m.now.Add(o.suspension)
	m.reportChanged = true
	m.logDecision("serverSuspended", "backend", o.ID, "cause", cause, "failures", o.failuresInRow, "pace", o.pace.Pace(), "runs", o.pace.Runs(), "for", o.suspension)
}

// clearFailures resets the failures of a server after a run that succeeded.
func (o *ownedServer) clearFailures() { o.failuresInRow, o.suspension = 0, 0 }

func compareRuns(a, b identifier.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task.Submission, b.Task.Submission), cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number), cmp.Compare(a.JobRun, b.JobRun))
}
