package repeater

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/assigner"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// yield is a server that another VM has taken by a higher token.
type yield struct {
	until time.Time
	pause time.Duration
	boost uint64 // added to the next token's time, in milliseconds
}

// movedRun is a run on a server that this VM has given up.
type movedRun struct {
	backend identifier.BackendID
	token   identifier.FencingToken
	at      time.Time
}

// proposal is the VM that should own a server, and since when.
type proposal struct {
	owner identifier.VMID
	since time.Time
}

// assignmentInput is what the proposals were made from.
type assignmentInput struct {
	stale bool
	vms   []assigner.VM
}

// assign takes servers over and releases them, as the live VMs demand.
func (m *Machine) assign() {
	m.propose()
	for _, id := range m.serverIDs {
		o, proposed := m.owned[id], m.proposals[id]
		switch {
		case o == nil && proposed.owner == m.opts.Self.VM && !m.draining:
			if m.mayTake(id) {
				m.take(id, "proposed")
			}
		case o != nil && !o.confirmed && proposed.owner != m.opts.Self.VM:
			m.record("takeoverDropped", "backend", id, "proposed", proposed.owner, "token", o.token)
			m.letGo(o)
		case o != nil && o.phase != phaseReleasing && proposed.owner != m.opts.Self.VM:
			m.considerRelease(o, proposed)
		}
	}
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		if !o.listed && len(o.runs) == 0 {
			m.record("serverDropped", "backend", id, "cause", "unlisted")
			m.dropServer(o)
			m.reportDirty = true
		}
	}
}

// propose computes who should own which server when the live VMs or the servers
// have changed.
func (m *Machine) propose() {
	vms := make([]assigner.VM, 0, len(m.peers)+1)
	if !m.draining {
		vms = append(vms, assigner.VM{ID: m.opts.Self.VM, Domain: m.opts.Domain, Weight: m.opts.Weight})
	}
	for _, p := range m.sortedPeers() {
		if m.alive(p) && !p.draining {
			vms = append(vms, assigner.VM{ID: p.member.VM, Domain: p.domain, Weight: p.weight})
		}
	}
	if !m.assignment.stale && slices.Equal(vms, m.assignment.vms) {
		return
	}
	m.assignment = assignmentInput{vms: vms}
	for _, id := range m.serverIDs {
		owner, _ := assigner.Owner(id, m.servers[id].Domain, vms)
		if m.proposals[id].owner != owner {
			m.proposals[id] = proposal{owner: owner, since: m.now}
		}
	}
}

// mayTake reports whether this VM may take a server over now.
func (m *Machine) mayTake(id identifier.BackendID) bool {
	if m.now.Before(m.yields[id].until) || !m.settled() || m.now.Before(m.refuseUntil) || m.outvoted() {
		return false
	}
	known, ok := m.owners[id]
	if !ok || known.owner.VM == m.opts.Self.VM {
		return true
	}
	p := m.peers[known.owner.VM]
	if p == nil || p.member != known.owner {
		return true
	}
	if m.alive(p) {
		_, owns := p.view[id]
		return !owns
	}
	return m.inMajority() || m.now.Sub(p.heard) > minorityDelay
}

// inMajority reports whether this VM hears at least half of the others.
func (m *Machine) inMajority() bool {
	alive, known := 1, 1
	for _, p := range m.peers {
		known++
		if m.alive(p) {
			alive++
		}
	}
	return 2*alive > known
}

// settled reports whether this VM knows what others own: it has listened for a
// while, or has heard all VMs that the store lists.
func (m *Machine) settled() bool {
	if m.now.Sub(m.started) >= startupGrace {
		return true
	}
	for _, id := range m.listedVMs {
		if p := m.peers[id]; id != m.opts.Self.VM && (p == nil || !m.alive(p)) {
			return false
		}
	}
	return len(m.listedVMs) > 0
}

// outvoted reports whether this VM is cut off from VMs that live: it hears a
// minority, and a server has followed another VM since. It answers the load of a
// VM that still reaches the servers: by outbidding the others it would take from
// their callers what it can't serve alone.
func (m *Machine) outvoted() bool {
	return !m.minoritySince.IsZero() && m.fencedAt.After(m.minoritySince) && m.now.Sub(m.fencedAt) < outvotedFor
}

// countVotes notes since when this VM has heard a minority.
func (m *Machine) countVotes() {
	switch {
	case m.inMajority():
		m.minoritySince = time.Time{}
	case m.minoritySince.IsZero():
		m.minoritySince = m.now
	}
}

// take makes this VM the owner of a server, by a token that is higher than all
// known ones.
func (m *Machine) take(id identifier.BackendID, cause string) {
	s, ok := m.servers[id]
	if !ok || m.owned[id] != nil {
		return
	}
	known := m.owners[id]
	token := m.newToken(known.token, m.yields[id].boost)
	m.addServer(&ownedServer{Server: s, token: token, listed: true, runs: make(map[identifier.RunRef]*run)})
	m.counters.Takeovers++
	m.reportDirty = true
	m.record("serverTaken", "backend", id, "cause", cause, "token", token, "earlierOwner", known.owner, "earlierToken", known.token)
	m.look(m.owned[id])
}

const (
	// vmBits is the part of a token that tells VMs apart; the rest is a time in
	// milliseconds, and both fit the integers that JSON carries exactly.
	vmBits = 10
	vmMask = 1<<vmBits - 1
)

func (m *Machine) newToken(known identifier.FencingToken, boost uint64) identifier.FencingToken {
	known = max(known, m.lastToken)
	at := max(uint64(m.now.UnixMilli())+boost, uint64(known)>>vmBits+1)
	m.lastToken = identifier.FencingToken(at<<vmBits | xxhash.Sum64String(string(m.opts.Self.VM))&vmMask)
	return m.lastToken
}

// loseServer gives a server up that another VM has taken, or may have.
func (m *Machine) loseServer(o *ownedServer, cause string) {
	if m.owned[o.ID] != o {
		return
	}
	y := m.yields[o.ID]
	if m.now.Sub(y.until) > longestYield {
		y = yield{} // the dispute is an old one
	}
	y.pause = min(max(2*y.pause, yieldFor), longestYield)
	y.until = m.now.Add(y.pause)
	y.boost = 2*y.boost + uint64(yieldFor.Milliseconds())
	m.yields[o.ID] = y
	m.counters.Fenced++
	m.fencedAt = m.now
	m.record("serverLost", "backend", o.ID, "cause", cause, "token", o.token, "runs", len(o.runs), "pause", y.pause)
	m.letGo(o)
}

// letGo forgets a server. Homes claim its runs from the next owner.
func (m *Machine) letGo(o *ownedServer) {
	for _, r := range o.sortedRuns() {
		m.moved[r.ref] = movedRun{backend: o.ID, token: o.token, at: m.now}
		if r.state != runRunning && r.state != runStarting && r.home != (identifier.Member{}) {
			m.tell(r.home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
		}
	}
	m.dropServer(o)
	m.reportDirty = true
	m.orphanTasks(m.opts.Self, o.ID, m.now)
}

// considerRelease releases a server to the live VM that should own it.
func (m *Machine) considerRelease(o *ownedServer, proposed proposal) {
	p := m.peers[proposed.owner]
	if p == nil || !m.alive(p) {
		return
	}
	if m.draining || m.now.Sub(proposed.since) >= rebalanceDelay && o.phase == phaseReady {
		o.phase = phaseReleasing
		o.releaseTo = p.member
		m.reportDirty = true
		m.advancePhase(o)
	}
}

// advancePhase moves a server on when what it waits for has come.
func (m *Machine) advancePhase(o *ownedServer) {
	switch o.phase {
	case phaseTaking:
		if o.confirmed && o.clockKnown && o.silent == 0 && o.looking == 0 {
			m.noteOwner(o.ID, m.opts.Self, o.token)
			o.phase = phaseClaiming
			o.claimUntil = m.now.Add(claimWindow)
			m.advancePhase(o)
		}
	case phaseClaiming:
		if o.orphans() == 0 || m.opts.defects.keepsUnclaimed {
			m.becomeReady(o)
		} else if !m.now.Before(o.claimUntil) {
			o.phase = phaseClearing
			m.advancePhase(o)
		}
	case phaseClearing:
		for _, r := range o.sortedRuns() {
			if r.state == runOrphan {
				m.stop(o, r, "no home has claimed it")
			}
		}
		if o.unclaimed() == 0 {
			m.becomeReady(o)
		}
	case phaseReleasing:
		m.release(o)
	case phaseReady:
	}
}

func (m *Machine) becomeReady(o *ownedServer) {
	o.phase = phaseReady
	m.reportDirty = true
	m.record("serverReady", "backend", o.ID, "runs", len(o.runs), "token", o.token)
}

// orphans counts the runs that wait for a claim.
func (o *ownedServer) orphans() (n int) {
	for _, r := range o.runs {
		if r.state == runOrphan {
			n++
		}
	}
	return n
}

// unclaimed counts the runs that no home waits for.
func (o *ownedServer) unclaimed() (n int) {
	for _, r := range o.runs {
		if r.home == (identifier.Member{}) {
			n++
		}
	}
	return n
}

// release hands a server over once no start or stop is open there.
func (m *Machine) release(o *ownedServer) {
	for _, r := range o.runs {
		if r.state != runRunning {
			return
		}
	}
	p := m.peers[o.releaseTo.VM]
	if p == nil || p.member != o.releaseTo || !m.alive(p) || p.draining {
		o.phase = phaseReady // the next owner is gone
		return
	}
	m.counters.Released++
	m.record("serverReleased", "backend", o.ID, "to", o.releaseTo, "runs", len(o.runs), "token", o.token)
	m.emit(SendMessage{To: o.releaseTo, Message: peermessenger.ServerReleased{Backend: o.ID, Token: o.token}})
	m.letGo(o)
}

// serverReleased takes a server over that its owner has released to this VM.
func (m *Machine) serverReleased(from identifier.Member, msg peermessenger.ServerReleased) {
	if m.owners[msg.Backend].token <= msg.Token {
		m.owners[msg.Backend] = ownership{owner: from, token: msg.Token}
	}
	if p := m.peers[from.VM]; p != nil {
		delete(p.view, msg.Backend)
	}
	if !m.draining {
		m.take(msg.Backend, "released")
	}
}

// claimed answers a home that claims runs.
func (m *Machine) claimed(from identifier.Member, msg peermessenger.ClaimRuns) {
	for _, c := range msg.Runs {
		m.claimedRun(from, c)
	}
	if msg.Backend == "" {
		m.stopUnclaimed(from, msg.Runs)
	}
}

// stopUnclaimed drops what a home has asked for earlier and doesn't claim.
func (m *Machine) stopUnclaimed(home identifier.Member, claims []peermessenger.ClaimedRun) {
	claimed := make(map[identifier.RunRef]bool, len(claims))
	for _, c := range claims {
		claimed[c.Run] = true
	}
	var dropped []identifier.RunRef
	for _, q := range m.queue {
		if q.home == home && !claimed[q.msg.Run] {
			dropped = append(dropped, q.msg.Run)
		}
	}
	for _, r := range m.allRuns() {
		if r.home == home && !claimed[r.ref] {
			dropped = append(dropped, r.ref)
		}
	}
	m.cancelRuns(home, dropped)
}

// claimedRun answers for one run: it goes on, it has ended, or it is not here.
func (m *Machine) claimedRun(from identifier.Member, c peermessenger.ClaimedRun) {
	for _, q := range m.queue {
		if q.msg.Run == c.Run {
			q.home = from
			return
		}
	}
	if o, r := m.findRun(c); r != nil {
		m.adopt(o, r, from, c)
		return
	}
	if e, ok := m.findEnding(c); ok {
		m.tellEnding(from, c, e)
		return
	}
	if at, ok := m.moved[c.Run]; ok && m.owned[at.backend] == nil {
		m.tell(from, peermessenger.TaskPlaced{Run: c.Run, Backend: at.backend, Token: at.token})
		return // its home claims it from the server's next owner
	}
	o := m.owned[c.Backend]
	if c.Backend != "" && o == nil {
		return // another VM owns it by now
	}
	if o != nil {
		// Another owner may have started it unseen, if the server has restarted.
		o.claims = append(o.claims, heldClaim{from: from, run: c, at: m.now})
		o.nextLook = m.now
		if o.looking == 0 {
			m.look(o)
		}
		return
	}
	m.disown(from, c)
}

// disown tells a home that a run goes on nowhere, as far as this owner has a
// say, and sees to it that it stays so.
func (m *Machine) disown(from identifier.Member, c peermessenger.ClaimedRun) {
	e := endedRun{home: from, at: m.now, msg: peermessenger.TaskEnded{
		Run: c.Run, Backend: c.Backend, Ending: peermessenger.RunStopped, Cause: "its server doesn't know it any more",
	}}
	m.ended[c.Run] = e // a delayed request for it is refused
	m.tell(from, e.msg)
}

// tellEnding tells a home how a run that it claims has ended.
func (m *Machine) tellEnding(home identifier.Member, c peermessenger.ClaimedRun, e endedRun) {
	e.home, e.msg.Run = home, c.Run
	m.ended[c.Run] = e
	m.tell(home, e.msg)
}

// findRun returns a claimed run: on the server that its home names, or on any
// when it names none.
func (m *Machine) findRun(c peermessenger.ClaimedRun) (*ownedServer, *run) {
	for _, id := range m.ownedIDs() {
		r := m.owned[id].runs[c.Run.OnServer()]
		if r == nil {
			continue
		}
		if r.ref == c.Run || r.home == (identifier.Member{}) && id == c.Backend {
			return m.owned[id], r
		}
	}
	return nil, nil
}

// findEnding returns how a claimed run ended, if that is known.
func (m *Machine) findEnding(c peermessenger.ClaimedRun) (endedRun, bool) {
	if e, ok := m.ended[c.Run]; ok {
		return e, true
	}
	e, ok := m.ended[c.Run.OnServer()] // found ended at takeover
	return e, ok && c.Backend != "" && e.msg.Backend == c.Backend
}

// answerHeldClaims answers the claims that came before a look was sent.
func (m *Machine) answerHeldClaims(o *ownedServer, looked time.Time) {
	claims := o.claims
	o.claims = nil
	for _, c := range claims {
		if !c.at.Before(looked) {
			o.claims = append(o.claims, c)
			continue
		}
		if o, r := m.findRun(c.run); r != nil {
			m.adopt(o, r, c.from, c.run)
		} else if e, ok := m.findEnding(c.run); ok {
			m.tellEnding(c.from, c.run, e)
		} else {
			m.disown(c.from, c.run)
		}
	}
	if len(o.claims) > 0 {
		o.nextLook = m.now
	}
}

// adopt keeps a run for the home that claims it.
func (m *Machine) adopt(o *ownedServer, r *run, home identifier.Member, c peermessenger.ClaimedRun) {
	r.home, r.ref = home, c.Run
	if r.state == runOrphan {
		r.state = runRunning
		r.msg = peermessenger.RunTask{
			Run: c.Run, Pool: o.Pool, Millicores: c.Millicores, Memory: c.Memory, Estimate: c.Estimate, Priority: c.Priority,
		}
		m.reportDirty = true
	}
	if r.state == runRunning {
		m.tell(home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
	}
}

// drain hands over all servers and gives queued tasks back.
func (m *Machine) drain() {
	if m.draining {
		return
	}
	m.draining = true
	m.reportDirty = true
	m.record("drainStarted", "openJobs", len(m.jobs), "ownedServers", len(m.owned), "queued", len(m.queue))
	if !m.anyPeerAlive() {
		return
	}
	queued := m.queue
	m.queue = nil
	for _, q := range queued {
		m.tell(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: "its owner shuts down"})
	}
	m.assign()
}
