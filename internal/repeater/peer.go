package repeater

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// peer is what is known of another VM's process.
type peer struct {
	member identifier.Member
	domain identifier.FailureDomain
	linked bool
	heard  time.Time
	lost   bool // silent for too long
	near   bool // in the neighborhood of this VM

	announced    time.Duration // until its next load report
	reportAt     time.Time     // a load report to it is due then, or earlier
	told         time.Duration // what was announced to it
	sharing      bool          // it has tasks in common with this VM
	sharingSince time.Time
	sharedAt     time.Time // when it last had some

	weight   int
	draining bool
	reported bool
	sequence uint64

	view     map[identifier.BackendID]serverView
	viewed   []identifier.BackendID // the servers in view, sorted
	queued   peermessenger.QueuedWork
	extra    int64                                          // work sent since its report that had no room
	pending  map[identifier.BackendID]identifier.Millicores // sent and not known to be placed
	routes   uint64
	servers  uint64
	helpedAt time.Time // when it was last sent a copy of the directory
}

// serverView is what a peer reported of one of its servers, less what was sent
// to it since.
type serverView struct {
	free    identifier.Millicores
	freeMem identifier.Mebibytes
	usable  bool
}

// alive reports whether a peer can be relied on.
func (m *Machine) alive(p *peer) bool {
	return p.linked && p.reported && !p.lost && !m.silent(p)
}

// oldestReport is the age of the oldest load report that a view is made from.
func (m *Machine) oldestReport() (age time.Duration) {
	for _, p := range m.peers {
		if m.alive(p) {
			age = max(age, m.now.Sub(p.heard))
		}
	}
	return age
}

func (m *Machine) anyPeerAlive() bool {
	for _, p := range m.peers {
		if m.alive(p) && !p.draining {
			return true
		}
	}
	return false
}

// sortedPeers returns the peers by name, so that effects come in a fixed order.
func (m *Machine) sortedPeers() []*peer {
	if m.peerOrder == nil {
		m.peerOrder = slices.SortedFunc(maps.Values(m.peers), func(a, b *peer) int {
			return cmp.Compare(a.member.VM, b.member.VM)
		})
	}
	return m.peerOrder
}

func (m *Machine) peersChanged() {
	m.peerOrder = nil // those who walk the old order keep it
	m.findNeighbors()
}

// peerFor returns the record of a peer's process, or nil when a later process
// of that VM is known.
func (m *Machine) peerFor(member identifier.Member, domain identifier.FailureDomain) *peer {
	p := m.peers[member.VM]
	if p != nil && p.member.Incarnation > member.Incarnation && !p.lost {
		return nil
	}
	if p != nil && p.member != member { // a clock may have been set back between the two
		m.losePeer(p, "replaced by a later process")
		p = nil
	}
	if p == nil {
		p = &peer{member: member, domain: domain, heard: m.now, pending: make(map[identifier.BackendID]identifier.Millicores)}
		m.peers[member.VM] = p
		m.peersChanged()
	}
	return p
}

func (m *Machine) peerLinked(e PeerLinked) {
	p := m.peerFor(e.Peer, e.Domain)
	if p == nil {
		return
	}
	p.linked = true
	m.record("peerLinked", "peer", e.Peer)
	m.sendReport(p)
	m.repeatEndings(p.member)
	m.claimFrom(p.member, "")
}

func (m *Machine) peerUnlinked(member identifier.Member) {
	if p := m.peers[member.VM]; p != nil && p.member == member {
		p.linked = false
		m.record("peerUnlinked", "peer", member, "silence", m.now.Sub(p.heard))
	}
}

// findLostPeers notices peers that have been silent for too long.
func (m *Machine) findLostPeers() {
	for _, p := range m.sortedPeers() {
		if !p.lost && m.silent(p) {
			m.losePeer(p, "silent")
		}
		if p.lost && m.now.Sub(p.heard) > forgetPeerAfter {
			delete(m.peers, p.member.VM)
			m.peersChanged()
		}
	}
}

// losePeer gives up a peer's process: its runs here are stopped, and runs that
// it owned are orphaned.
func (m *Machine) losePeer(p *peer, cause string) {
	if p.lost {
		return
	}
	p.lost = true
	m.counters.PeersLost++
	m.record("peerLost", "peer", p.member, "cause", cause, "silence", m.now.Sub(p.heard))
	m.orphanTasks(p.member, "", p.heard)
	m.stopRunsOf(p.member)
	p.view, p.viewed = nil, nil
	p.reported, p.announced, p.sharing = false, 0, false
}

// receive handles a message of a peer. Each one shows that the peer lives.
func (m *Machine) receive(e PeerMessage) {
	p := m.peerFor(e.From, e.Domain)
	if p == nil {
		return // a message of a process that was replaced
	}
	p.heard = m.now
	if p.lost {
		p.lost = false
		m.record("peerBack", "peer", p.member)
	}
	switch msg := e.Message.(type) {
	case peermessenger.LoadReport:
		m.receiveReport(p, msg)
	case peermessenger.ServerReleased:
		m.serverReleased(e.From, msg)
	default:
		m.handle(e.From, msg)
	}
}

func (m *Machine) receiveReport(p *peer, r peermessenger.LoadReport) {
	if p.reported && r.Sequence <= p.sequence {
		return // overtaken by a later one on a new link
	}
	first := !p.reported
	p.reported, p.sequence, p.weight, p.draining = true, r.Sequence, r.Weight, r.Draining
	p.announced = r.Next
	p.queued, p.extra, p.routes, p.servers = r.Queued, 0, r.RoutesVersion, r.ServersSeen
	previous := p.view
	p.view = make(map[identifier.BackendID]serverView, len(r.Servers))
	p.viewed = make([]identifier.BackendID, 0, len(r.Servers))
	for _, s := range r.Servers {
		p.view[s.Backend] = serverView{free: s.Free - p.pending[s.Backend], freeMem: s.FreeMemMB, usable: s.Usable}
		p.viewed = append(p.viewed, s.Backend)
		if _, had := previous[s.Backend]; !had && m.owners[s.Backend] == (ownership{owner: p.member, token: s.Token}) {
			m.claimFrom(p.member, s.Backend) // it was unsure of the server, and has kept it
		}
		m.noteOwner(s.Backend, p.member, s.Token)
	}
	slices.Sort(p.viewed)
	for id := range previous {
		if _, still := p.view[id]; !still {
			m.orphanTasks(p.member, id, m.now)
		}
	}
	if first {
		m.claimFrom(p.member, "")
	}
	m.helpPeer(p)
}

// noteOwner records who owns a server by the highest token. Runs there are
// claimed from a new owner.
func (m *Machine) noteOwner(id identifier.BackendID, owner identifier.Member, token identifier.FencingToken) {
	known := m.owners[id]
	if token <= known.token {
		return
	}
	m.owners[id] = ownership{owner: owner, token: token}
	if o := m.owned[id]; o != nil && owner != m.opts.Self && o.token < token {
		m.loseServer(o, "a peer reports a higher token")
	}
	m.claimFrom(owner, id)
}

// noteSent takes a task that is sent to a peer off what it reported.
func (p *peer) noteSent(j Job, to target) {
	p.pending[to.backend] += j.Cores
	if !to.fits {
		p.extra += work(j.Cores, j.Estimate)
		return
	}
	v := p.view[to.backend]
	v.free -= j.Cores
	v.freeMem -= j.Memory
	p.view[to.backend] = v
}
