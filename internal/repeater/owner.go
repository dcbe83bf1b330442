package repeater

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Causes of endings that homes react to.
const causeSuperseded = "superseded"

// order is a call to a backend server that is not answered.
type order struct {
	server identifier.BackendID
	token  identifier.FencingToken
	run    identifier.RunRef
	queued *queuedTask // of a start
	issued time.Time
}

// endedRun is what an owner remembers of a run that has ended.
type endedRun struct {
	home identifier.Member // empty: found ended at takeover
	msg  peermessenger.TaskEnded
	at   time.Time
}

func (m *Machine) newOrder(o order) OrderID {
	m.lastOrder++
	o.issued = m.now
	o.token = m.owned[o.server].token
	m.orders[m.lastOrder] = o
	return m.lastOrder
}

// takeOrder returns an open order and the server that it went to; nil when the
// server was given up since.
func (m *Machine) takeOrder(id OrderID) (order, *ownedServer) {
	ord, ok := m.orders[id]
	if !ok {
		return order{}, nil
	}
	delete(m.orders, id)
	o := m.owned[ord.server]
	if o == nil || o.token != ord.token {
		return ord, nil
	}
	return ord, o
}

func (m *Machine) startAnswered(e StartAnswered) {
	ord, o := m.takeOrder(e.Order)
	if o == nil {
		m.startOutOfHand(ord, e.Result)
		return
	}
	r := o.runs[ord.run.OnServer()]
	if r != nil && e.Result == StartAccepted {
		r.generation = e.Clock.Generation
	}
	m.noteClock(o, e.Clock)
	if r == nil || r.ref != ord.run || o.runs[ord.run.OnServer()] != r {
		return // a look has shown its end already
	}
	if e.Result == StartAccepted {
		m.runStarted(o, r)
		return
	}
	if r.state == runRunning {
		return // a look has shown it
	}
	m.record("startRefused", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID, "result", e.Result, "took", m.now.Sub(ord.issued))
	if e.Result == StartUnanswered {
		m.counters.StartsFailed++
		if r.state == runStarting {
			r.state = runUnknown
		}
		o.silent++
		o.missedAt = m.now
		m.stop(o, r, "the start got no answer")
		return
	}
	m.dropRun(o, r)
	m.reportDirty = true
	m.startRefused(o, ord, r, e.Result)
}

// startRefused reacts to a start that the server has surely not carried out.
func (m *Machine) startRefused(o *ownedServer, ord order, r *run, result StartResult) {
	stopped := r.state == runStopping
	switch result {
	case StartNoRoom:
		o.fullUntil = m.now.Add(noRoomPause)
		o.nextLook = m.now
		if len(o.runs) == 0 && o.looking == 0 {
			m.look(o)
		}
	case StartFenced:
		defer m.loseServer(o, "fenced")
	case StartExpired:
		o.clockKnown = false
		o.nextLook = m.now
	case StartUnhealthy:
		m.suspect(o, "unhealthy")
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
	ord.queued.home = r.home
	m.requeue(ord.queued, result.String())
}

// noRoomPause is how long a server that refused a start for want of room gets no
// further one: a look and the usual time between two ends on one server.
const noRoomPause = 40 * time.Millisecond

// startOutOfHand deals with the outcome of a start whose server was given up
// meanwhile. What may have started is its home's to claim from the next owner.
func (m *Machine) startOutOfHand(ord order, result StartResult) {
	if ord.queued == nil {
		return
	}
	switch result {
	case StartAccepted, StartUnanswered:
		m.tell(ord.queued.home, peermessenger.TaskPlaced{Run: ord.run, Backend: ord.server, Token: ord.token})
	default:
		m.tell(ord.queued.home, peermessenger.TaskEnded{Run: ord.run, Ending: peermessenger.RunNotStarted, Cause: result.String()})
	}
}

func (m *Machine) runStarted(o *ownedServer, r *run) {
	if r.state != runStarting && r.state != runUnknown {
		return
	}
	r.state = runRunning
	r.startedAt = m.now
	m.tell(r.home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
	if o.looking == 0 {
		m.look(o)
	}
}

// endRun forgets a run that goes on nowhere and tells its home.
func (m *Machine) endRun(o *ownedServer, r *run, ending peermessenger.RunEnding, cause string) {
	m.dropRun(o, r)
	m.reportDirty = true
	msg := peermessenger.TaskEnded{Run: r.ref, Backend: o.ID, Ending: ending, Cause: cause}
	if !r.startedAt.IsZero() {
		msg.Elapsed = m.now.Sub(r.startedAt)
	}
	m.ended[r.ref] = endedRun{home: r.home, msg: msg, at: m.now}
	if r.home == (identifier.Member{}) {
		return
	}
	m.tell(r.home, msg)
}

// stop orders a server to end a run, or never to start it.
func (m *Machine) stop(o *ownedServer, r *run, cause string) {
	if r.state == runStopping && (!r.stoppedAt.IsZero() || r.stopOrder != 0 && (o.silent > 1 || m.now.Sub(r.stopSentAt) < stopRepeat)) {
		return // a server that answers nothing gets no more than it can miss
	}
	r.stopSentAt = m.now
	if r.state != runStopping {
		m.counters.Stops++
		m.record("runStopped", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID, "cause", cause, "age", m.now.Sub(r.since))
		r.state, r.stopCause, r.stopSince = runStopping, cause, m.now
	}
	r.stopOrder = m.newOrder(order{server: o.ID, run: r.ref})
	m.emit(StopRun{Order: r.stopOrder, Server: o.Server, Token: o.token, Run: r.ref})
}

const (
	// stopRepeat is how long a stop waits for its answer until it is sent once more:
	// longer than a server takes to stop a run.
	stopRepeat = 80 * time.Millisecond
	// stopRetry is the pause before a stop that got no answer in time is sent again.
	stopRetry = 100 * time.Millisecond
)

func (m *Machine) stopAnswered(e StopAnswered) {
	ord, o := m.takeOrder(e.Order)
	if o == nil {
		return
	}
	m.noteClock(o, e.Clock)
	r := o.runs[ord.run.OnServer()]
	if r == nil {
		return
	}
	if r.stopOrder == e.Order {
		r.stopOrder = 0
	}
	switch e.Result {
	case StopAccepted:
		if !ord.issued.Before(o.missedAt) {
			m.heardFrom(o) // the call that got no answer was lost alone
		}
		r.stoppedAt = m.now
		if o.looking == 0 {
			m.look(o)
		}
		o.nextLook = m.now
	case StopFenced:
		m.loseServer(o, "fenced")
	case StopWrongServer:
		m.resetServer(o, "another process answers")
	case StopUnanswered:
		r.nextStop = m.now.Add(stopRetry)
	}
}

// stopRunsOf stops what runs or waits here for a home that is lost.
func (m *Machine) stopRunsOf(home identifier.Member) {
	m.queue = slices.DeleteFunc(m.queue, func(q *queuedTask) bool { return q.home == home })
	for o, r := range m.allRuns() {
		if r.home == home {
			m.stop(o, r, "its home is lost")
		}
	}
}

// cancelRuns drops runs that nobody waits for any more.
func (m *Machine) cancelRuns(home identifier.Member, refs []identifier.RunRef) {
	for _, ref := range refs {
		before := len(m.queue)
		m.queue = slices.DeleteFunc(m.queue, func(q *queuedTask) bool { return q.msg.Run == ref && q.home == home })
		if len(m.queue) < before {
			m.reportDirty = true
			continue
		}
		for _, id := range m.ownedIDs() {
			o := m.owned[id]
			if r := o.runs[ref.OnServer()]; r != nil && r.ref == ref && r.home == home {
				m.stop(o, r, "nobody waits for it")
			}
		}
	}
}

// repeatEndings tells a home again what may have been lost with a link.
func (m *Machine) repeatEndings(home identifier.Member) {
	for _, ref := range slices.SortedFunc(maps.Keys(m.ended), compareRuns) {
		if e := m.ended[ref]; e.home == home {
			m.tell(home, e.msg)
		}
	}
}

// suspect counts a failure of a server. Several in a row suspend it.
func (m *Machine) suspect(o *ownedServer, cause string) {
	o.suspicion++
	if o.suspicion < suspectFailures {
		return
	}
	m.suspend(o, cause, suspendFirst)
}

// suspend gives a server no work for a while, which doubles. After it the server
// is on probation, with one run at a time, until one ends well.
func (m *Machine) suspend(o *ownedServer, cause string, first time.Duration) {
	if m.now.Before(o.suspendedUntil) {
		return // its runs were started before
	}
	o.suspendFor = min(max(2*o.suspendFor, first), suspendLongest)
	o.suspendedUntil = m.now.Add(o.suspendFor)
	m.reportDirty = true
	m.record("serverSuspended", "backend", o.ID, "cause", cause, "failures", o.suspicion, "pace", o.pace.mean, "runs", o.pace.runs, "for", o.suspendFor)
}

// trust forgets the failures of a server that has ended a run well.
func (o *ownedServer) trust() { o.suspicion, o.suspendFor = 0, 0 }

func compareRuns(a, b identifier.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task.Submission, b.Task.Submission), cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number), cmp.Compare(a.JobRun, b.JobRun))
}
