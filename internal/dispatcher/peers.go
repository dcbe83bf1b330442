package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/claimer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/limiter"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/quarantiner"
)

func (m *Machine) handlePeerUp(now time.Time, e PeerUp) {
	m.peers[e.Member] = e.Domain
	m.forgetEarlierIncarnations(e.Member)
	m.updateMembers(now)
}

func (m *Machine) handlePeerDown(now time.Time, e PeerDown) {
	if _, ok := m.peers[e.Member]; !ok {
		return
	}
	delete(m.peers, e.Member)
	m.unlinkedPeers[e.Member] = now
	m.scheduleResends(now, e.Member)
	m.stepClaimer(now, claimer.PeerUnreachable{Member: e.Member})
	m.stepPlacer(now, placer.PeerUnreachable{Member: e.Member})
	m.stepLimiter(now, limiter.PeerUnreachable{Member: e.Member})
	m.updateMembers(now)
}

// updateMembers tells the placer and the limiter which entry VMs share the backend
// servers.
func (m *Machine) updateMembers(now time.Time) {
	members := []placer.DomainMember{{Member: m.opts.Self, Domain: m.opts.Domain}}
	for member, domain := range m.peers {
		members = append(members, placer.DomainMember{Member: member, Domain: domain})
	}
	slices.SortFunc(members, func(a, b placer.DomainMember) int { return compareMembers(a.Member, b.Member) })
	m.placer.SetMembers(now, members)
	m.stepLimiter(now, limiter.MembersChanged{Members: m.quotaHolders()})
	m.startQueued(now)
}

// quotaHolders returns the entry VMs that may hold a share of a team's quota:
// those that are linked, and those that may still run behind a network partition.
func (m *Machine) quotaHolders() []identifier.Member {
	holders := []identifier.Member{m.opts.Self}
	for member := range m.peers {
		holders = append(holders, member)
	}
	for member := range m.unlinkedPeers {
		holders = append(holders, member)
	}
	slices.SortFunc(holders, compareMembers)
	return holders
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// forgetEarlierIncarnations forgets the unlinked incarnations of a VM that a linked
// one has replaced.
func (m *Machine) forgetEarlierIncarnations(member identifier.Member) {
	for l := range m.unlinkedPeers {
		if l.VM == member.VM {
			delete(m.unlinkedPeers, l)
		}
	}
}

// handleMemberTerminated handles the proof that a member's process has terminated.
func (m *Machine) handleMemberTerminated(now time.Time, member identifier.Member) {
	m.stepClaimer(now, claimer.MemberTerminated{Member: member})
	if _, ok := m.unlinkedPeers[member]; ok {
		delete(m.unlinkedPeers, member)
		m.updateMembers(now)
	}
}

// forgetUnlinkedPeers forgets the peers whose link was lost longer ago than
// unlinkedPeerRetention.
func (m *Machine) forgetUnlinkedPeers(now time.Time) {
	forgotten := false
	for member, since := range m.unlinkedPeers {
		if now.Sub(since) > unlinkedPeerRetention {
			delete(m.unlinkedPeers, member)
			forgotten = true
		}
	}
	if forgotten {
		m.updateMembers(now)
	}
}

// stepLimiter passes an event to the limiter and carries out its effects.
func (m *Machine) stepLimiter(now time.Time, e limiter.Event) {
	freed := false
	for _, effect := range m.limiter.Step(now, e) {
		switch effect := effect.(type) {
		case limiter.Send:
			m.emit(Send{To: effect.To, Message: effect.Message})
		case limiter.TasksReady:
			freed = true
		}
	}
	if freed {
		m.startQueued(now)
	}
}

// handlePeerMessage handles forwarded requests and their replies, and passes every
// other message to the claimer, placer, quarantiner and limiter.
func (m *Machine) handlePeerMessage(now time.Time, e PeerMessage) {
	switch message := e.Message.(type) {
	case peermessenger.SubmitJob:
		m.submit(now, peerCaller{e.From, message.Number}, message.Job, message.Wait, message.Hops)
	case peermessenger.AttachJob:
		m.fetch(now, peerCaller{e.From, message.Number}, fetchRequest{
			team: message.Team, submission: message.Submission, wait: message.Wait, hops: message.Hops,
		})
	case peermessenger.CancelJob:
		m.cancel(now, peerCaller{e.From, message.Number}, cancelRequest{
			team: message.Team, submission: message.Submission, hops: message.Hops,
		})
	case peermessenger.JobReply:
		m.relayReply(message)
	default:
		m.stepClaimer(now, claimer.PeerMessage{From: e.From, Message: e.Message})
		m.stepPlacer(now, placer.PeerMessage{From: e.From, Message: e.Message})
		m.stepQuarantiner(now, quarantiner.PeerMessage{From: e.From, Message: e.Message})
		m.stepLimiter(now, limiter.PeerMessage{From: e.From, Message: e.Message})
	}
}
