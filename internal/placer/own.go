package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// settleTime is how long a new owner of slots waits for the reports of what
// the other VMs hold of them.
const settleTime = 300 * time.Millisecond

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(strings.Compare(string(a.VM), string(b.VM)), cmp.Compare(a.Incarnation, b.Incarnation))
}

// setPeers brings the peers in line with the list of members.
func (p *Placer) setPeers(now time.Time, members []DomainMember) {
	known := make(map[identifier.Member]*peer, len(members))
	p.peers = p.peers[:0]
	for _, m := range members {
		if m.Member == p.opts.Self {
			continue
		}
		v, ok := p.byMember[m.Member]
		if !ok {
			v = newPeer(m)
		}
		known[m.Member] = v
		p.peers = append(p.peers, v)
	}
	slices.SortFunc(p.peers, func(a, b *peer) int { return compareMembers(a.Member, b.Member) })
	for member, v := range p.byMember {
		if known[member] == nil {
			p.dropLoans(now, v)
		}
	}
	p.byMember = known
}

// assignOwners gives each backend server's slots to one VM of its failure
// domain, or to one of all when its failure domain has none.
func (p *Placer) assignOwners(now time.Time) {
	byDomain := p.peersByDomain()
	all := append(slices.Clone(p.peers), p.self)
	for _, v := range all {
		v.backends = v.backends[:0]
		v.lender.slots = 0
	}
	for _, id := range p.sortedBackends() {
		b := p.backends[id]
		candidates := byDomain[b.Domain]
		if len(candidates) == 0 {
			candidates = all
		}
		p.setOwner(now, b, bestOwner(candidates, b.ID))
		b.connectors = p.connectorsOf(b)
		b.connections = p.connectionShare(b)
		p.refresh(now, b)
	}
}

func (p *Placer) peersByDomain() map[identifier.FailureDomain][]*peer {
	byDomain := make(map[identifier.FailureDomain][]*peer)
	for _, v := range p.peers {
		byDomain[v.Domain] = append(byDomain[v.Domain], v)
	}
	byDomain[p.self.Domain] = append(byDomain[p.self.Domain], p.self)
	return byDomain
}

func bestOwner(candidates []*peer, id identifier.BackendID) *peer {
	var best *peer
	var most uint64
	for _, v := range candidates {
		weight := rendezvous(v.Member, id)
		if best == nil || weight > most || (weight == most && compareMembers(v.Member, best.Member) < 0) {
			best, most = v, weight
		}
	}
	return best
}

// setOwner moves a backend server to its owner, and has the slots that this VM
// uses there reported to it.
func (p *Placer) setOwner(now time.Time, b *backendState, owner *peer) {
	if owner != nil {
		owner.backends = append(owner.backends, b)
		if b.listed && !b.Leaving {
			owner.lender.slots += b.Slots
		}
	}
	if owner == b.owner {
		return
	}
	switch {
	case b.owner == p.self:
		p.forgetLoans(b)
		b.held = b.running
		b.heldUntil = now
	case b.owner != nil:
		b.owner.lender.holdings.remove(b)
	}
	b.owner = owner
	switch {
	case owner == p.self && len(p.peers) > 0:
		b.held = 0
		b.settledAt = now.Add(settleTime)
		p.wait(b)
	case owner != nil && owner != p.self && b.inUse() > 0:
		owner.lender.schedule(now)
	}
}

// connectorsOf returns the VMs that may connect to a backend server of this
// VM, or nil when all may.
func (p *Placer) connectorsOf(b *backendState) []identifier.Member {
	if b.owner != p.self || len(p.members) <= b.Connections/viewsAtOnce {
		return nil
	}
	return p.ranked(b, b.Connections/viewsAtOnce)
}

// mayConnect reports whether another VM may connect to a backend server of this one.
func (b *backendState) mayConnect(m identifier.Member) bool {
	return b.connectors == nil || slices.Contains(b.connectors, m)
}
