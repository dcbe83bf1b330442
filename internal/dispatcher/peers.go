package dispatcher

import (
	"slices"
	"strings"
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
	m.membersChanged(now)
}

func (m *Machine) peerDown(now time.Time, e PeerDown) {
	if _, ok := m.peers[e.Member]; !ok {
		return
	}
	delete(m.peers, e.Member)
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
	slices.SortFunc(members, func(a, b placer.DomainMember) int {
		return strings.Compare(a.Member.String(), b.Member.String())
	})
	m.placer.SetMembers(now, members)
	names := make([]identifier.Member, len(members))
	for i, member := range members {
		names[i] = member.Member
	}
	m.limiterStep(now, limiter.MembersSet{Members: names})
	m.pump(now)
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
