package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/router"
)

// Machine is the state machine of one entry VM. It is not safe for concurrent
// use.
type Machine struct {
	opts    Options
	now     time.Time
	started time.Time
	effects []Effect

	routes          *router.Table
	routesChangedAt time.Time
	servers         map[identifier.BackendID]Server
	serversRevision uint64
	serverIDs       []identifier.BackendID // sorted

	peers     map[identifier.VMID]*peer
	peerOrder []*peer // sorted; nil when peers have changed
	nearby    int     // peers of the neighborhood
	listedVMs []identifier.VMID

	// as a home
	jobs        map[identifier.SubmissionID]*openJob
	byRequest   map[RequestID]identifier.SubmissionID
	lastJobRun  uint64
	refuseUntil time.Time // requests may have waited through a pause

	// as an owner
	owned      map[identifier.BackendID]*ownedServer
	ownedOrder []identifier.BackendID             // sorted; nil when owned has changed
	running    map[identifier.TaskRef]int         // runs at owned servers
	owners     map[identifier.BackendID]ownership // as far as is known
	yields     map[identifier.BackendID]yield
	proposals  map[identifier.BackendID]proposal
	queue      []*queuedTask
	queueSeq   uint64
	lastToken  identifier.FencingToken
	orders     map[OrderID]order
	lastOrder  OrderID
	ended      map[identifier.RunRef]endedRun
	moved      map[identifier.RunRef]movedRun
	assignment assignmentInput

	minoritySince time.Time // zero: most peers are heard
	fencedAt      time.Time // a server last followed another VM

	reportSeq   uint64
	lastReport  time.Time
	reportDirty bool
	draining    bool
	drained     bool
	counters    Counters
}

// ownership is who orders a server about, and by what token.
type ownership struct {
	owner identifier.Member
	token identifier.FencingToken
}

// New returns a Machine that knows no peers, routes or servers.
func New(now time.Time, opts Options) *Machine {
	return &Machine{
		opts:      opts,
		now:       now,
		started:   now,
		servers:   make(map[identifier.BackendID]Server),
		peers:     make(map[identifier.VMID]*peer),
		jobs:      make(map[identifier.SubmissionID]*openJob),
		byRequest: make(map[RequestID]identifier.SubmissionID),
		owned:     make(map[identifier.BackendID]*ownedServer),
		running:   make(map[identifier.TaskRef]int),
		owners:    make(map[identifier.BackendID]ownership),
		yields:    make(map[identifier.BackendID]yield),
		proposals: make(map[identifier.BackendID]proposal),
		orders:    make(map[OrderID]order),
		ended:     make(map[identifier.RunRef]endedRun),
		moved:     make(map[identifier.RunRef]movedRun),
	}
}

// Step reacts to an event. The effects are valid until the next call.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	m.now = now
	clear(m.effects)
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case JobSubmitted:
		m.submit(e)
	case RequestAbandoned:
		m.abandon(e.Request)
	case PeerLinked:
		m.peerLinked(e)
	case PeerUnlinked:
		m.peerUnlinked(e.Peer)
	case PeerMessage:
		m.receive(e)
	case RoutesChanged:
		m.changeRoutes(e.Table)
	case ServersChanged:
		m.changeServers(e)
	case VMsListed:
		m.listedVMs = e.VMs
	case StartAnswered:
		m.startAnswered(e)
	case StopAnswered:
		m.stopAnswered(e)
	case LookAnswered:
		m.lookAnswered(e)
	case Ticked:
		m.tick()
	case Woken:
		m.wake(e.Gap)
	case DrainStarted:
		m.drain()
	}
	m.pump()
	m.report()
	m.checkDrained()
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) record(decision string, fields ...any) {
	m.emit(Record{Decision: decision, Fields: fields})
}

// Routes returns the table in force, or nil.
func (m *Machine) Routes() *router.Table { return m.routes }

// Ready reports whether the VM can serve new callers.
func (m *Machine) Ready() bool {
	if m.draining || m.routes == nil {
		return false
	}
	for _, o := range m.owned {
		if o.usable(m.now) {
			return true
		}
	}
	for _, p := range m.peers {
		if m.alive(p) && len(p.view) > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) tick() {
	m.findShared()
	m.findLostPeers()
	m.countVotes()
	m.assign()
	m.tickOwned()
	m.tickJobs()
	for ref, e := range m.ended {
		if m.now.Sub(e.at) > endedMemory {
			delete(m.ended, ref)
		}
	}
	for ref, r := range m.moved {
		if m.now.Sub(r.at) > endedMemory {
			delete(m.moved, ref)
		}
	}
}

// wake reacts to a pause of this VM. What it believes is old: its peers have
// stopped its runs and taken its servers over.
func (m *Machine) wake(gap time.Duration) {
	m.record("woken", "gap", gap, "openJobs", len(m.jobs), "ownedServers", len(m.owned))
	m.refuseUntil = m.now.Add(wakeQuarantine)
	for _, p := range m.peers {
		if !p.lost {
			p.heard = m.now // silence counts from here
		}
	}
	if gap < silenceBound/2 {
		return
	}
	for _, j := range m.sortedJobs() {
		m.finish(j, Lost{Cause: "this VM was paused"})
	}
	queued := m.queue
	m.queue = nil
	for _, q := range queued {
		m.tell(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: "its owner was paused"})
	}
	for _, id := range m.ownedIDs() {
		o := m.owned[id] // its token shows whether it was taken over
		o.phase, o.confirmed, o.nextLook = phaseTaking, false, m.now
	}
}

func (m *Machine) checkDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 {
		return
	}
	if len(m.owned) > 0 && (len(m.queue) > 0 || m.ownedRuns() > 0 || m.anyPeerAlive()) {
		return
	}
	m.drained = true
	m.emit(Drained{})
}
