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

func (m *Machine) peerUp(now time.Time, e PeerUp) {
	m.peers[e.Member] = e.Domain
	m.forgetEarlier(e.Member)
	m.membersChanged(now)
}

func (m *Machine) peerDown(now time.Time, e PeerDown) {
	if _, ok := m.peers[e.Member]; !ok {
		return
	}
	delete(m.peers, e.Member)
	m.lost[e.Member] = now
	m.forwardsLost(now, e.Member)
	m.claimerStep(now, claimer.PeerLost{Member: e.Member})
	m.placerStep(now, placer.PeerLost{Member: e.Member})
	m.limiterStep(now, limiter.PeerLost{Member: e.Member})
	m.membersChanged(now)
}

// membersChanged tells the cores which entry VMs share the backend servers.
func (m *Machine) membersChanged(now time.Time) {
	members := []placer.DomainMember{{Member: m.opts.Self, Domain: m.opts.Domain}}
	for member, domain := range m.peers {
		members = append(members, placer.DomainMember{Member: member, Domain: domain})
	}
	slices.SortFunc(members, func(a, b placer.DomainMember) int { return compareMembers(a.Member, b.Member) })
	m.placer.SetMembers(now, members)
	m.limiterStep(now, limiter.MembersSet{Members: m.quotaHolders()})
	m.pump(now)
}

// quotaHolders returns the entry VMs that may hold a share of a team's quota:
// those that are linked, and those that may go on behind a cut.
func (m *Machine) quotaHolders() []identifier.Member {
	holders := []identifier.Member{m.opts.Self}
	for member := range m.peers {
		holders = append(holders, member)
	}
	for member := range m.lost {
		holders = append(holders, member)
	}
	slices.SortFunc(holders, compareMembers)
	return holders
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// forgetEarlier forgets the lost incarnations that a linked one has replaced.
func (m *Machine) forgetEarlier(member identifier.Member) {
	for l := range m.lost {
		if l.VM == member.VM {
			delete(m.lost, l)
		}
	}
}

// memberGone takes the proof that a process has ended.
func (m *Machine) memberGone(now time.Time, member identifier.Member) {
	m.claimerStep(now, claimer.GoneProved{Member: member})
	if _, ok := m.lost[member]; ok {
		delete(m.lost, member)
		m.membersChanged(now)
	}
}

// forgetLost forgets the entry VMs that were lost too long ago to come back.
func (m *Machine) forgetLost(now time.Time) {
	forgotten := false
	for member, since := range m.lost {
		if now.Sub(since) > forgetPeerAfter {
			delete(m.lost, member)
			forgotten = true
		}
	}
	if forgotten {
		m.membersChanged(now)
	}
}

// limiterStep hands an event to the limiter and carries out what it asks for.
func (m *Machine) limiterStep(now time.Time, e limiter.Event) {
	freed := false
	for _, effect := range m.limiter.Step(now, e) {
		switch effect := effect.(type) {
		case limiter.Send:
			m.emit(Send{To: effect.To, Message: effect.Message})
		case limiter.QuotaFreed:
			freed = true
		}
	}
	if freed {
		m.pump(now)
	}
}

// peerReceived hands a message to the duty that it belongs to.
func (m *Machine) peerReceived(now time.Time, e PeerReceived) {
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
		m.forwardAnswered(message)
	default:
		m.claimerStep(now, claimer.PeerReceived{From: e.From, Message: e.Message})
		m.placerStep(now, placer.PeerReceived{From: e.From, Message: e.Message})
		m.quarantineStep(now, quarantiner.PeerReceived{From: e.From, Message: e.Message})
		m.limiterStep(now, limiter.PeerReceived{From: e.From, Message: e.Message})
	}
}
