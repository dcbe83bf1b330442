package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// newOwnerDelay is how long a new owner of a backend server leaves its slots
// unused, until the other VMs have reported which of them they hold.
const newOwnerDelay = 300 * time.Millisecond

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(strings.Compare(string(a.VM), string(b.VM)), cmp.Compare(a.Incarnation, b.Incarnation))
}

// setPeers updates the peers to the list of members, and takes back the slots
// lent to VMs that left it.
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
			p.dropPeerLoans(now, v)
		}
	}
	p.byMember = known
}

// assignOwners makes one VM of its failure domain the owner of each backend
// server, or one of all VMs when its failure domain has none.
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
		b.allowedVMs = p.allowedVMsOf(b)
		b.connections = p.connectionShare(b)
		p.reindex(now, b)
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
	var bestWeight uint64
	for _, v := range candidates {
		weight := rendezvousWeight(v.Member, id)
		if best == nil || weight > bestWeight || (weight == bestWeight && compareMembers(v.Member, best.Member) < 0) {
			best, bestWeight = v, weight
		}
	}
	return best
}

// setOwner records the owner of a backend server. When the owner has changed to
// a peer, it schedules the report of the slots that this VM holds there.
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
		p.dropBackendLoans(b)
		b.held = b.running
		b.reuseUntil = now
	case b.owner != nil:
		b.owner.lender.borrowed.remove(b)
	}
	b.owner = owner
	switch {
	case owner == p.self && len(p.peers) > 0:
		b.held = 0
		b.ownerReadyAt = now.Add(newOwnerDelay)
		p.watchBlocked(b)
	case owner != nil && owner != p.self && b.slotsToReport() > 0:
		owner.lender.scheduleRequest(now)
	}
}

// allowedVMsOf returns the VMs that may connect to a backend server that this VM
// owns, or nil when all may.
func (p *Placer) allowedVMsOf(b *backendState) []identifier.Member {
	if b.owner != p.self || len(p.members) <= b.Connections/concurrentLists {
		return nil
	}
	return p.firstRanked(b, b.Connections/concurrentLists)
}

// mayConnect reports whether another VM may connect to a backend server that
// this VM owns.
func (b *backendState) mayConnect(m identifier.Member) bool {
	return b.allowedVMs == nil || slices.Contains(b.allowedVMs, m)
}
