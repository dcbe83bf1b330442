package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/crashcounter"
	"github.com/peppertrack/peppertrack/internal/evacuator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/pairmeter"
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

	routes           *router.Table
	routesChangedAt  time.Time
	routesAsOf       time.Time // the store had no later routes then; zero: known from peers alone
	servers          map[identifier.BackendID]Server
	serversRevision  uint64
	serversAsOf      time.Time                  // the store had no later list of servers then; zero: it has confirmed none
	peersServersAsOf time.Time                  // the same for the peer whose list the store confirmed last
	serverIDs        []identifier.BackendID     // sorted
	serverDomains    []identifier.FailureDomain // of the servers, sorted

	evacuations    evacuator.State
	evacuatedPools map[identifier.PoolID]bool // whose servers are all evacuated

	peers         map[identifier.VMID]*peer
	peersInOrder  []*peer                      // sorted; nil when peers has changed
	neighborCount int                          // other VMs in the neighborhood
	contactCount  int                          // contacts beyond it
	domainParts   int                          // neighborhoods of this VM's failure domain
	ownPart       int                          // the one of this VM
	listedVMs     map[identifier.VMID]listedVM // this one included
	unheardWeight []int                        // of the listed VMs of this VM's failure domain that are no peers, by neighborhood
	farCount      int                          // known VMs beyond the neighborhood
	keptLinks     KeepLinks                    // the latest effect of that kind
	sparse        bool                         // this VM keeps no links to most of those

	// State as a home.
	jobs         map[identifier.SubmissionID]*openJob
	jobOfRequest map[RequestID]identifier.SubmissionID
	lastJobRun   uint64
	resumedAt    time.Time // the end of the latest pause of this VM
	refuseUntil  time.Time // requests that arrive until then may have waited through a pause

	routesUnconfirmed bool // the store may have put later routes in force during the latest pause

	// State as an owner.
	owned            map[identifier.BackendID]*ownedServer
	ownedInOrder     []identifier.BackendID             // sorted; nil when owned has changed
	runsOfTask       map[identifier.TaskRef]int         // number of runs at owned servers
	owners           map[identifier.BackendID]ownership // as far as this VM knows
	paces            map[identifier.BackendID]float64   // of other VMs' servers; see paceOf
	takeoverBackoffs map[identifier.BackendID]takeoverBackoff
	assignments      map[identifier.BackendID]assignment
	queue            []*queuedTask
	lastQueueNumber  uint64
	lastToken        identifier.FencingToken
	calls            map[CallID]serverCall
	lastCall         CallID
	startAnswers     answerTime
	callsLostUntil   time.Time // calls to servers that live were lost shortly before
	ended            map[identifier.RunRef]endedRun
	formerRuns       map[identifier.RunRef]formerRun
	aloneLosses      []time.Time // when servers of any VM were lost under tasks that ran alone
	assignmentInput  assignmentInput
	assignedIDs      []identifier.BackendID // the servers in assignments, sorted

	pairs  *pairTracker          // nil: pairs that disturb each other are not measured
	losses *crashcounter.Counter // of runs, on the servers of all VMs

	minoritySince time.Time // zero: this VM hears a majority
	fencedAt      time.Time // when this VM last lost a server to a higher token

	lastReportNumber uint64
	reportedAt       time.Time
	reportChanged    bool
	serverUsable     bool // at the latest tick, so that the servers of one takeover count together
	settled          bool // the load of the neighborhood's servers is known since the start
	draining         bool
	drained          bool
	counters         Counters
}

// ownership says which process controls a server, and by which fencing token.
type ownership struct {
	owner identifier.Member
	token identifier.FencingToken
}

// New returns a Machine that knows no peers, routes or servers.
func New(now time.Time, opts Options) *Machine {
	m := &Machine{
		domainParts:      1,
		unheardWeight:    make([]int, 1),
		keptLinks:        KeepLinks{All: true},
		opts:             opts,
		now:              now,
		started:          now,
		servers:          make(map[identifier.BackendID]Server),
		peers:            make(map[identifier.VMID]*peer),
		jobs:             make(map[identifier.SubmissionID]*openJob),
		jobOfRequest:     make(map[RequestID]identifier.SubmissionID),
		owned:            make(map[identifier.BackendID]*ownedServer),
		runsOfTask:       make(map[identifier.TaskRef]int),
		owners:           make(map[identifier.BackendID]ownership),
		paces:            make(map[identifier.BackendID]float64),
		takeoverBackoffs: make(map[identifier.BackendID]takeoverBackoff),
		assignments:      make(map[identifier.BackendID]assignment),
		calls:            make(map[CallID]serverCall),
		ended:            make(map[identifier.RunRef]endedRun),
		formerRuns:       make(map[identifier.RunRef]formerRun),
		losses:           crashcounter.New(),
	}
	if opts.KeepPairsApart {
		m.pairs = &pairTracker{meter: pairmeter.New()}
	}
	return m
}

// Step handles an event. The effects are valid until the next call.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	m.now = now
	clear(m.effects)
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case RouteRequested:
		m.routeRequest(e)
	case ReadinessRequested:
		m.emit(ReadinessReply{Request: e.Request, Ready: m.ready()})
	case JobSubmitted:
		m.submitJob(e)
	case RequestAbandoned:
		m.abandonRequest(e.Request)
	case PeerLinked:
		m.handlePeerLinked(e)
	case PeerUnlinked:
		m.handlePeerUnlinked(e)
	case PeerMessage:
		m.handlePeerMessage(e)
	case RoutesChanged:
		m.changeRoutes(e.Table)
	case RoutesConfirmed:
		m.confirmRoutes(e.AsOf)
	case ServersChanged:
		m.changeServers(e)
	case ServersConfirmed:
		m.serversAsOf = later(m.serversAsOf, e.AsOf)
	case EvacuationsChanged:
		m.changeEvacuations(e.List, evacuator.FromStore)
	case VMsListed:
		m.changeListedVMs(e.VMs)
	case StartAnswered:
		m.handleStartAnswered(e)
	case StopAnswered:
		m.handleStopAnswered(e)
	case PollAnswered:
		m.handlePollAnswered(e)
	case Ticked:
		m.tick()
	case Resumed:
		m.resumeAfterPause(e.Gap)
	case DrainStarted:
		m.drain()
	}
	m.startQueuedTasks()
	m.sendDueReports()
	m.checkDrained()
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) logDecision(decision string, fields ...any) {
	m.emit(LogDecision{Decision: decision, Fields: fields})
}

// ready reports whether the VM can serve new callers.
func (m *Machine) ready() bool {
	if _, refused := m.refusalAfterPause(); refused || m.draining || m.routes == nil {
		return false
	}
	return m.serverUsable && m.settled
}

// anyServerUsable reports whether a job can run at this VM or a peer.
func (m *Machine) anyServerUsable() bool {
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

// knowsLoad reports whether this VM knows an owner that serves each server of its
// neighborhood, or that the server doesn't answer. Until then it would refuse jobs for
// which there is room.
func (m *Machine) knowsLoad() bool {
	if len(m.assignedIDs) == 0 || !m.knowsOwners() {
		return false
	}
	for _, id := range m.assignedIDs {
		if o := m.owned[id]; o != nil {
			if o.phase < phaseReady && o.unansweredCalls == 0 && !o.Leaving {
				return false
			}
			continue
		}
		if _, known := m.viewOf(id); !known && !m.servers[id].Leaving {
			return false
		}
	}
	return true
}

// viewOf returns the load of a server as the live peer that owns it reports it.
func (m *Machine) viewOf(id identifier.BackendID) (serverView, bool) {
	p := m.peers[m.owners[id].owner.VM]
	if p == nil || !m.alive(p) {
		return serverView{}, false
	}
	v, ok := p.view[id]
	return v, ok
}

func (m *Machine) tick() {
	m.updateSharing()
	m.dropSilentPeers()
	m.forgetMissingVMs()
	m.trackMinority()
	m.reconcileOwnership()
	m.tickServers()
	m.returnOverdueTasks()
	m.searchPairs()
	m.tickRoutes()
	m.tickJobs()
	m.serverUsable = m.anyServerUsable()
	m.settled = m.settled || m.now.Sub(m.started) >= settleTime || m.knowsLoad()
	for ref, e := range m.ended {
		if m.now.Sub(e.at) > endedRetention {
			delete(m.ended, ref)
		}
	}
	for ref, r := range m.formerRuns {
		if m.now.Sub(r.at) > endedRetention {
			delete(m.formerRuns, ref)
		}
	}
}

// resumeAfterPause handles a pause of this VM. Its state is out of date: its
// peers may have stopped the runs of its jobs and taken over its servers.
func (m *Machine) resumeAfterPause(gap time.Duration) {
	m.logDecision("woken", "gap", gap, "openJobs", len(m.jobs), "ownedServers", len(m.owned))
	m.counters.Pauses++
	m.refuseUntil = m.now.Add(pauseRefusalTime)
	m.checkRoutes()
	for _, p := range m.peers {
		if !p.lost {
			p.lastHeard = m.now // the pause doesn't count as the peer's silence
		}
	}
	if gap < silenceBound/2 {
		return
	}
	for _, j := range m.sortedJobs() {
		m.finishJob(j, Lost{Cause: "this VM was paused"})
	}
	queued := m.queue
	m.queue = nil
	for _, q := range queued {
		m.sendMessage(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: "its owner was paused"})
	}
	for _, id := range m.ownedIDs() {
		o := m.owned[id] // the next poll shows by its token whether it was taken over
		o.phase, o.confirmed, o.nextPollAt = phaseTaking, false, m.now
		if !m.opts.defects.keepRunsAfterPause {
			m.giveUpRuns(o)
		}
	}
}

func (m *Machine) checkDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 {
		return
	}
	if len(m.owned) > 0 && (len(m.queue) > 0 || m.ownedRunCount() > 0 || m.anyPeerServing()) {
		return
	}
	m.drained = true
	m.emit(Drained{})
}
