package repeater

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// peer is what this VM knows of another VM's process.
type peer struct {
	member    identifier.Member
	domain    identifier.FailureDomain
	linked    bool
	lastHeard time.Time
	lost      bool // silent for too long, or replaced
	near      bool // in the neighborhood of this VM
	contact   bool // beyond it, and tasks may be sent to it
	part      int  // its neighborhood in its failure domain

	announcedInterval time.Duration // the peer sends its next load report within this time
	nextReportAt      time.Time     // the next load report to it is due
	promisedInterval  time.Duration // it was told to expect the next load report within this time
	sharesTasks       bool          // it runs tasks of this VM, or this VM runs its tasks
	sharingSince      time.Time
	lastSharedAt      time.Time // when they last shared a task

	weight           int
	draining         bool
	reported         bool
	lastReportNumber uint64

	view            map[identifier.BackendID]serverView
	viewIDs         []identifier.BackendID // the servers in view, sorted
	queued          peermessenger.QueuedWork
	isolating       int                                            // tasks alone on its servers, as reported and sent since
	unplacedWork    int64                                          // sent since its last report, to no server with room
	pending         map[identifier.BackendID]identifier.Millicores // sent, and not yet reported as started or ended
	routesVersion   uint64
	serversRevision uint64
	copySentAt      time.Time // when it was last sent a copy of the directory
	evacuationsTold uint64    // the revision of the list of evacuations that it was last told
}

// serverView is a server's load as its owner reported it, less what was sent to
// it since.
type serverView struct {
	free    identifier.Millicores
	freeMem identifier.Mebibytes
	usable  bool
}

// alive reports whether a peer can be relied on: it is linked, has reported and
// isn't silent.
func (m *Machine) alive(p *peer) bool {
	return p.linked && p.reported && !p.lost && !m.silentTooLong(p)
}

// longestSilence returns the time since the last message of the live peer that has
// been silent the longest; 0 without a live peer.
func (m *Machine) longestSilence() (age time.Duration) {
	for _, p := range m.peers {
		if m.alive(p) {
			age = max(age, m.now.Sub(p.lastHeard))
		}
	}
	return age
}

func (m *Machine) anyPeerServing() bool {
	for _, p := range m.peers {
		if m.alive(p) && !p.draining {
			return true
		}
	}
	return false
}

// sortedPeers returns the peers sorted by VM, so that effects come in a fixed
// order.
func (m *Machine) sortedPeers() []*peer {
	if m.peersInOrder == nil {
		m.peersInOrder = slices.SortedFunc(maps.Values(m.peers), func(a, b *peer) int {
			return cmp.Compare(a.member.VM, b.member.VM)
		})
	}
	return m.peersInOrder
}

func (m *Machine) updatePeerSet() {
	m.peersInOrder = nil // callers that iterate over the old slice keep it
	m.updateNeighbors()
}

// peerFor returns the record of a peer's process and creates it if it is new.
// It returns nil when a later process of that VM is known.
func (m *Machine) peerFor(member identifier.Member, domain identifier.FailureDomain) *peer {
	p := m.peers[member.VM]
	if p != nil && p.member.Incarnation > member.Incarnation && !p.lost {
		return nil
	}
	if p != nil && p.member != member { // the VM's clock may have been set back between the two
		m.markPeerLost(p, "replaced by a later process")
		p = nil
	}
	if p == nil {
		p = &peer{member: member, domain: domain, lastHeard: m.now, pending: make(map[identifier.BackendID]identifier.Millicores)}
		m.peers[member.VM] = p
		m.updatePeerSet()
	}
	return p
}

func (m *Machine) handlePeerLinked(e PeerLinked) {
	p := m.peerFor(e.Peer, e.Domain)
	if p == nil {
		return
	}
	p.linked = true
	m.logDecision("peerLinked", "peer", e.Peer)
	m.sendReport(p)
	m.resendEndings(p.member)
	m.claimRuns(p.member, "")
}

func (m *Machine) handlePeerUnlinked(e PeerUnlinked) {
	p := m.peers[e.Peer.VM]
	if p == nil || p.member != e.Peer {
		return
	}
	p.linked = false
	m.logDecision("peerUnlinked", "peer", e.Peer, "silence", m.now.Sub(p.lastHeard), "unneeded", e.Unneeded)
	if e.Unneeded && !p.sharesTasks {
		if vm, ok := m.listedVMs[e.Peer.VM]; ok && vm.Domain == "" {
			vm.Domain = p.domain
			m.listedVMs[e.Peer.VM] = vm
		}
		delete(m.peers, e.Peer.VM) // its silence says nothing
		m.updatePeerSet()
	}
}

// dropSilentPeers marks peers lost that are silent for too long, and forgets
// them after forgetPeerAfter.
func (m *Machine) dropSilentPeers() {
	for _, p := range m.sortedPeers() {
		if !p.lost && m.silentTooLong(p) {
			m.markPeerLost(p, "silent")
		}
		if p.lost && m.now.Sub(p.lastHeard) > forgetPeerAfter {
			delete(m.peers, p.member.VM)
			m.updatePeerSet()
		}
	}
}

// markPeerLost gives up a peer's process: the runs of its jobs on the servers of
// this VM are stopped, and the tasks that it owned are orphaned.
func (m *Machine) markPeerLost(p *peer, cause string) {
	if p.lost {
		return
	}
	p.lost = true
	m.counters.PeersLost++
	m.logDecision("peerLost", "peer", p.member, "cause", cause, "silence", m.now.Sub(p.lastHeard))
	m.orphanTasks(p.member, "", p.lastHeard)
	m.stopRunsOfHome(p.member)
	p.view, p.viewIDs = nil, nil
	p.reported, p.announcedInterval, p.sharesTasks = false, 0, false
}

// handlePeerMessage handles a message from a peer. Each message shows that the
// peer is alive.
func (m *Machine) handlePeerMessage(e PeerMessage) {
	p := m.peerFor(e.From, e.Domain)
	if p == nil {
		return // the process was replaced
	}
	p.lastHeard = m.now
	if p.lost {
		p.lost = false
		m.logDecision("peerBack", "peer", p.member)
	}
	switch msg := e.Message.(type) {
	case peermessenger.LoadReport:
		m.handleLoadReport(p, msg)
	case peermessenger.ServerReleased:
		m.handleServerReleased(e.From, msg)
	default:
		m.handleTaskMessage(e.From, msg)
	}
}

func (m *Machine) handleLoadReport(p *peer, r peermessenger.LoadReport) {
	if p.reported && r.Sequence <= p.lastReportNumber {
		return // an older report, overtaken by a later one on a new link
	}
	first := !p.reported
	p.reported, p.lastReportNumber, p.weight, p.draining = true, r.Sequence, r.Weight, r.Draining
	p.announcedInterval = r.Next
	p.queued, p.unplacedWork, p.routesVersion, p.serversRevision = r.Queued, 0, r.RoutesVersion, r.ServersRevision
	p.isolating = r.Isolating
	m.learnEvacuations(r)
	if m.pairs != nil {
		m.pairs.meter.Learn(m.now, r.Pairs)
	}
	if r.ServersAge > 0 {
		m.peersServersAsOf = later(m.peersServersAsOf, m.now.Add(-r.ServersAge))
	}
	for _, loss := range r.Losses {
		m.recordLoss(loss)
	}
	previous := p.view
	p.view = make(map[identifier.BackendID]serverView, len(r.Servers))
	p.viewIDs = make([]identifier.BackendID, 0, len(r.Servers))
	for _, s := range r.Servers {
		p.view[s.Backend] = serverView{free: s.Free - p.pending[s.Backend], freeMem: s.FreeMemory, usable: s.Usable}
		p.viewIDs = append(p.viewIDs, s.Backend)
		m.recordPace(s.Backend, s.Pace)
		if _, had := previous[s.Backend]; !had && m.owners[s.Backend] == (ownership{owner: p.member, token: s.Token}) {
			m.claimRuns(p.member, s.Backend) // the peer left it out of its reports until the server confirmed the token
		}
		m.recordOwner(s.Backend, p.member, s.Token)
	}
	slices.Sort(p.viewIDs)
	for id := range previous {
		if _, still := p.view[id]; !still {
			m.orphanTasks(p.member, id, m.now)
		}
	}
	if first {
		m.claimRuns(p.member, "")
	}
	m.sendDirectoryCopy(p)
}

// recordOwner records the owner with the highest token of a server. Of two that have
// taken it by equal tokens, which the server can't tell apart, the one with the higher
// name is the owner, for both and for all that hear of both. Runs there are claimed
// from a new owner.
func (m *Machine) recordOwner(id identifier.BackendID, owner identifier.Member, token identifier.FencingToken) {
	known := m.owners[id]
	if cmp.Or(cmp.Compare(token, known.token), compareMembers(owner, known.owner)) <= 0 {
		return
	}
	m.owners[id] = ownership{owner: owner, token: token}
	if o := m.owned[id]; o != nil && owner != m.opts.Self {
		switch {
		case o.token < token:
			m.loseOwnership(o, "a peer reports a higher token")
		case o.token == token && compareMembers(m.opts.Self, owner) < 0:
			m.loseOwnership(o, "a peer with a higher name reports the same token")
		}
	}
	m.claimRuns(owner, id)
}

// recordSent subtracts a task that is sent to a peer from the capacity that the
// peer reported.
func (p *peer) recordSent(j Job, to target) {
	p.pending[to.backend] += j.Cores
	if to.alone {
		p.isolating++
		return
	}
	if !to.fits {
		p.unplacedWork += taskWork(j.Cores, j.Estimate)
		return
	}
	v := p.view[to.backend]
	v.free -= j.Cores
	v.freeMem -= j.Memory
	p.view[to.backend] = v
}
