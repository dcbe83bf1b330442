package repeater

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/crashcounter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// takeoverBackoff delays the next takeover of a server that another VM has
// taken by a higher token.
type takeoverBackoff struct {
	until            time.Time
	pause            time.Duration
	tokenBoostMillis uint64 // added to the time in the next token
}

// formerRun is a run on a server that this VM no longer owns.
type formerRun struct {
	backend identifier.BackendID
	token   identifier.FencingToken
	at      time.Time
}

// reconcileOwnership takes over and releases servers so that their owners match
// the assignments.
func (m *Machine) reconcileOwnership() {
	m.updateAssignments()
	for _, id := range m.assignedIDs {
		o, assigned := m.owned[id], m.assignments[id]
		switch {
		case o == nil && assigned.owner == m.opts.Self.VM && !m.draining:
			if m.canTakeOver(id) {
				m.takeOver(id, "proposed")
			}
		case o != nil && !o.confirmed && assigned.owner != m.opts.Self.VM:
			m.logDecision("takeoverDropped", "backend", id, "proposed", assigned.owner, "token", o.token)
			m.dropOwnership(o)
		case o != nil && o.phase != phaseReleasing && assigned.owner != m.opts.Self.VM:
			m.startDueRelease(o, assigned)
			m.dropForeignServer(o, assigned)
		}
	}
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		if !o.listed && len(o.runs) == 0 {
			m.logDecision("serverDropped", "backend", id, "cause", "unlisted")
			m.removeOwned(o)
			m.reportChanged = true
		}
	}
}

// canTakeOver reports whether this VM may take over a server now.
func (m *Machine) canTakeOver(id identifier.BackendID) bool {
	if m.now.Before(m.takeoverBackoffs[id].until) || !m.knowsOwners() || m.now.Before(m.refuseUntil) || m.partitioned() {
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
	if m.sparse && m.servers[id].Domain != m.opts.Domain {
		// A failure domain that is cut off leaves the servers of the others alone.
		return m.hearsMost(func(*peer) bool { return true })
	}
	return m.inMajority() || m.now.Sub(p.lastHeard) > minorityTakeoverDelay
}

// inMajority reports whether this VM hears the majority of the VMs. In a large
// fleet, those that report to it at short intervals stand for all: the silence of
// the others shows too late.
func (m *Machine) inMajority() bool {
	largeFleet := m.fewContacts()
	return m.hearsMost(func(p *peer) bool { return !largeFleet || m.reportsOften(p) })
}

// hearsMost reports whether this VM and the peers that it hears are more than half
// of those that count.
func (m *Machine) hearsMost(counts func(*peer) bool) bool {
	alive, known := 1, 1
	for _, p := range m.peers {
		if !counts(p) {
			continue
		}
		known++
		if m.alive(p) {
			alive++
		}
	}
	return 2*alive > known
}

// knowsOwners reports whether this VM knows which servers its peers own: it has
// listened for startupGrace, or has heard all VMs that the store lists and that can
// own servers of its neighborhood.
func (m *Machine) knowsOwners() bool {
	if m.now.Sub(m.started) >= startupGrace {
		return true
	}
	for id, vm := range m.listedVMs {
		if id == m.opts.Self.VM || !vm.missingSince.IsZero() || m.sparse && !m.neighborhoodHas(id) {
			continue
		}
		if p := m.peers[id]; p == nil || !m.alive(p) {
			return false
		}
	}
	return len(m.listedVMs) > 0
}

// partitioned reports whether this VM is cut off from live VMs: it hears a
// minority, and since then it has lost a server to a higher token. Such a VM may
// still reach the servers. If it took over servers by higher tokens, the callers
// of the other VMs would lose capacity that this VM alone can't use in full.
func (m *Machine) partitioned() bool {
	return !m.minoritySince.IsZero() && m.fencedAt.After(m.minoritySince) && m.now.Sub(m.fencedAt) < fencedTakeoverPause
}

// trackMinority records since when this VM has heard only a minority.
func (m *Machine) trackMinority() {
	switch {
	case m.inMajority():
		m.minoritySince = time.Time{}
	case m.minoritySince.IsZero():
		m.minoritySince = m.now
	}
}

// takeOver makes this VM the owner of a server, with a fencing token above all
// known ones.
func (m *Machine) takeOver(id identifier.BackendID, cause string) {
	s, ok := m.servers[id]
	if !ok || m.owned[id] != nil {
		return
	}
	known := m.owners[id]
	token := m.newToken(known.token, m.takeoverBackoffs[id].tokenBoostMillis)
	o := &ownedServer{Server: s, token: token, listed: true, runs: make(map[identifier.RunRef]*run)}
	m.markEvacuated(o)
	o.pace.Adopt(m.paces[id])
	o.trackWarmup(m.now)
	m.addOwned(o)
	m.counters.Takeovers++
	m.reportChanged = true
	m.logDecision("serverTaken", "backend", id, "cause", cause, "token", token, "earlierOwner", known.owner, "earlierToken", known.token)
	m.poll(o)
}

const (
	// tokenVMBits is the number of low bits of a token that hold a hash of the
	// VM's name. The other bits are a time in milliseconds, and the token still
	// fits the integers that JSON carries exactly.
	tokenVMBits = 10
	tokenVMMask = 1<<tokenVMBits - 1
)

func (m *Machine) newToken(known identifier.FencingToken, boost uint64) identifier.FencingToken {
	known = max(known, m.lastToken)
	at := max(uint64(m.now.UnixMilli())+boost, uint64(known)>>tokenVMBits+1)
	m.lastToken = identifier.FencingToken(at<<tokenVMBits | xxhash.Sum64String(string(m.opts.Self.VM))&tokenVMMask)
	return m.lastToken
}

// loseOwnership gives up a server that another VM has taken, or may have taken.
func (m *Machine) loseOwnership(o *ownedServer, cause string) {
	if m.owned[o.ID] != o {
		return
	}
	backoff := m.takeoverBackoffs[o.ID]
	if m.now.Sub(backoff.until) > maxTakeoverBackoff {
		backoff = takeoverBackoff{} // the last dispute is long over
	}
	backoff.pause = min(max(2*backoff.pause, firstTakeoverBackoff), maxTakeoverBackoff)
	backoff.until = m.now.Add(backoff.pause)
	backoff.tokenBoostMillis = 2*backoff.tokenBoostMillis + uint64(firstTakeoverBackoff.Milliseconds())
	m.takeoverBackoffs[o.ID] = backoff
	m.counters.OwnershipsLost++
	m.fencedAt = m.now
	m.logDecision("serverLost", "backend", o.ID, "cause", cause, "token", o.token, "runs", len(o.runs), "pause", backoff.pause)
	m.dropOwnership(o)
}

// dropOwnership removes a server from those that this VM owns. Homes claim its
// runs from the next owner.
func (m *Machine) dropOwnership(o *ownedServer) {
	for _, r := range o.sortedRuns() {
		m.formerRuns[r.ref] = formerRun{backend: o.ID, token: o.token, at: m.now}
		if r.state != runRunning && r.state != runStarting && r.home != (identifier.Member{}) {
			m.sendMessage(r.home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
		}
	}
	m.removeOwned(o)
	m.reportChanged = true
	m.orphanTasks(m.opts.Self, o.ID, m.now)
}

// startDueRelease starts to release a server to its assigned owner if that is
// alive: at once while this VM drains, otherwise after a delay.
func (m *Machine) startDueRelease(o *ownedServer, assigned assignment) {
	p := m.peers[assigned.owner]
	if p == nil || !m.alive(p) {
		return
	}
	if m.draining || m.now.Sub(assigned.since) >= m.rebalanceDelay(p) && o.phase == phaseReady {
		o.phase = phaseReleasing
		o.releaseTo = p.member
		m.reportChanged = true
		m.advancePhase(o)
	}
}

// dropForeignServer gives a server up that belongs to a neighborhood of which this VM
// knows no live VM, once nothing runs there. The VMs of that neighborhood know no owner
// of it and take it over.
func (m *Machine) dropForeignServer(o *ownedServer, assigned assignment) {
	if !m.sparse || assigned.owner != "" || len(o.runs) > 0 || m.now.Sub(assigned.since) < max(minRebalanceDelay, 2*m.farReportInterval()) {
		return
	}
	m.logDecision("serverDropped", "backend", o.ID, "cause", "it belongs to another neighborhood")
	m.dropOwnership(o)
}

// rebalanceDelay returns how long the assigned owner of a server must stay the same
// before this VM releases the server to it. VMs beyond the neighborhood may assign
// the server differently until they have heard of the same VMs.
func (m *Machine) rebalanceDelay(to *peer) time.Duration {
	if to.near {
		return minRebalanceDelay
	}
	return max(minRebalanceDelay, 2*m.farReportInterval())
}

// advancePhase moves a server to its next phase when the condition for that is
// met.
func (m *Machine) advancePhase(o *ownedServer) {
	switch o.phase {
	case phaseTaking:
		if o.confirmed && o.clockKnown && o.unansweredCalls == 0 && o.openPoll == 0 {
			m.recordOwner(o.ID, m.opts.Self, o.token)
			o.phase = phaseClaiming
			o.claimUntil = m.now.Add(claimWindow)
			m.advancePhase(o)
		}
	case phaseClaiming:
		if o.foundRuns() == 0 || m.opts.defects.extendUnclaimed {
			m.markReady(o)
		} else if !m.now.Before(o.claimUntil) {
			o.phase = phaseClearing
			m.advancePhase(o)
		}
	case phaseClearing:
		for _, r := range o.sortedRuns() {
			if r.state == runFound {
				m.stopRun(o, r, "no home has claimed it")
			}
		}
		if o.unclaimedRuns() == 0 {
			m.markReady(o)
		}
	case phaseReleasing:
		m.releaseWhenQuiet(o)
	case phaseReady:
	}
}

func (m *Machine) markReady(o *ownedServer) {
	o.phase = phaseReady
	m.reportChanged = true
	m.logDecision("serverReady", "backend", o.ID, "runs", len(o.runs), "token", o.token)
}

// foundRuns returns the number of runs that wait for a claim.
func (o *ownedServer) foundRuns() (n int) {
	for _, r := range o.runs {
		if r.state == runFound {
			n++
		}
	}
	return n
}

// unclaimedRuns returns the number of runs that belong to no home.
func (o *ownedServer) unclaimedRuns() (n int) {
	for _, r := range o.runs {
		if r.home == (identifier.Member{}) {
			n++
		}
	}
	return n
}

// releaseWhenQuiet hands a server over once no start or stop is pending there.
func (m *Machine) releaseWhenQuiet(o *ownedServer) {
	for _, r := range o.runs {
		if r.state != runRunning {
			return
		}
	}
	p := m.peers[o.releaseTo.VM]
	if p == nil || p.member != o.releaseTo || !m.alive(p) || p.draining {
		o.phase = phaseReady // the next owner is lost or draining
		return
	}
	m.counters.Released++
	m.logDecision("serverReleased", "backend", o.ID, "to", o.releaseTo, "runs", len(o.runs), "token", o.token)
	m.emit(SendMessage{To: o.releaseTo, Message: peermessenger.ServerReleased{Backend: o.ID, Token: o.token}})
	m.dropOwnership(o)
}

// handleServerReleased takes over a server that its owner has released to this
// VM.
func (m *Machine) handleServerReleased(from identifier.Member, msg peermessenger.ServerReleased) {
	if m.owners[msg.Backend].token <= msg.Token {
		m.owners[msg.Backend] = ownership{owner: from, token: msg.Token}
	}
	if p := m.peers[from.VM]; p != nil {
		delete(p.view, msg.Backend)
	}
	if !m.draining {
		m.takeOver(msg.Backend, "released")
	}
}

// handleClaims answers the claims of a home. A message without a backend lists
// all runs that the home waits for here.
func (m *Machine) handleClaims(from identifier.Member, msg peermessenger.ClaimRuns) {
	for _, c := range msg.Runs {
		m.handleClaim(from, c)
	}
	if msg.Backend == "" {
		m.cancelUnclaimed(from, msg.Runs)
	}
}

// cancelUnclaimed cancels the tasks and runs of a home that it doesn't claim.
func (m *Machine) cancelUnclaimed(home identifier.Member, claims []peermessenger.ClaimedRun) {
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

// handleClaim answers the claim of one run: the run continues, has ended, or is
// not here.
func (m *Machine) handleClaim(from identifier.Member, c peermessenger.ClaimedRun) {
	for _, q := range m.queue {
		if q.msg.Run == c.Run {
			q.home = from
			return
		}
	}
	if o, r := m.findClaimedRun(c); r != nil {
		m.adoptRun(o, r, from, c)
		return
	}
	if e, ok := m.findClaimedEnding(c); ok {
		m.sendEnding(from, c, e)
		return
	}
	if former, ok := m.formerRuns[c.Run]; ok && m.owned[former.backend] == nil {
		m.sendMessage(from, peermessenger.TaskPlaced{Run: c.Run, Backend: former.backend, Token: former.token})
		return // the home claims it from the server's next owner
	}
	o := m.owned[c.Backend]
	if c.Backend != "" && o == nil {
		return // another VM owns the server by now
	}
	if o != nil {
		// If the server has restarted, another owner may have started the run there
		// unseen.
		o.pendingClaims = append(o.pendingClaims, pendingClaim{from: from, run: c, at: m.now})
		o.nextPollAt = m.now
		if o.openPoll == 0 {
			m.poll(o)
		}
		return
	}
	m.reportUnknownRun(from, c)
}

// reportUnknownRun tells a home that a run that it claims has ended as far as
// this owner knows: the server that the claim names doesn't list the run, or the
// claim names no server and the run is neither queued nor at a server here. It
// also makes sure that this owner never starts the run.
func (m *Machine) reportUnknownRun(from identifier.Member, c peermessenger.ClaimedRun) {
	e := endedRun{home: from, at: m.now, msg: peermessenger.TaskEnded{
		Run: c.Run, Backend: c.Backend, Ending: peermessenger.RunStopped, Cause: "its server doesn't know it any more",
	}}
	m.ended[c.Run] = e // a delayed request for the run is refused
	m.sendMessage(from, e.msg)
}

// sendEnding tells a home how a run that it claims has ended.
func (m *Machine) sendEnding(home identifier.Member, c peermessenger.ClaimedRun, e endedRun) {
	e.home, e.msg.Run = home, c.Run
	m.ended[c.Run] = e
	m.sendMessage(home, e.msg)
}

// findClaimedRun returns a claimed run and its server: on any server if the run
// is known under its home's reference, otherwise an unclaimed run on the server
// that the home names.
func (m *Machine) findClaimedRun(c peermessenger.ClaimedRun) (*ownedServer, *run) {
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

// findClaimedEnding returns how a claimed run ended, if this owner knows.
func (m *Machine) findClaimedEnding(c peermessenger.ClaimedRun) (endedRun, bool) {
	if e, ok := m.ended[c.Run]; ok {
		return e, true
	}
	// It had ended before the takeover. A server that has restarted since may have the run
	// of a later submission under the same reference.
	e, ok := m.ended[c.Run.OnServer()]
	o := m.owned[c.Backend]
	return e, ok && o != nil && o.ID == e.msg.Backend && o.generation != 0 && o.generation == e.generation
}

// answerPendingClaims answers the claims that arrived before a poll was sent.
func (m *Machine) answerPendingClaims(o *ownedServer, polledAt time.Time) {
	claims := o.pendingClaims
	o.pendingClaims = nil
	for _, c := range claims {
		if !c.at.Before(polledAt) {
			o.pendingClaims = append(o.pendingClaims, c)
			continue
		}
		if o, r := m.findClaimedRun(c.run); r != nil {
			m.adoptRun(o, r, c.from, c.run)
		} else if e, ok := m.findClaimedEnding(c.run); ok {
			m.sendEnding(c.from, c.run, e)
		} else {
			m.reportUnknownRun(c.from, c.run)
		}
	}
	if len(o.pendingClaims) > 0 {
		o.nextPollAt = m.now
	}
}

// adoptRun assigns a run to the home that claims it.
func (m *Machine) adoptRun(o *ownedServer, r *run, home identifier.Member, c peermessenger.ClaimedRun) {
	r.home, r.ref = home, c.Run
	if r.state == runFound {
		r.state = runRunning
		r.msg = peermessenger.RunTask{
			Run: c.Run, Pool: o.Pool, Millicores: c.Millicores, Memory: c.Memory, Estimate: c.Estimate, Priority: c.Priority,
			Alone: len(o.runs) == 1 && m.losses.Verdict(c.Run.Task) != crashcounter.RunShared,
		}
		m.reportChanged = true
	}
	if r.state == runRunning {
		m.sendMessage(home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
	}
}

// drain starts to hand over all servers and returns queued tasks to their
// homes.
func (m *Machine) drain() {
	if m.draining {
		return
	}
	m.draining = true
	m.reportChanged = true
	m.logDecision("drainStarted", "openJobs", len(m.jobs), "ownedServers", len(m.owned), "queued", len(m.queue))
	if !m.anyPeerServing() {
		return
	}
	queued := m.queue
	m.queue = nil
	for _, q := range queued {
		m.sendMessage(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: "its owner shuts down"})
	}
	m.reconcileOwnership()
}
