package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// maxConnectionShare bounds one entry VM's connections to one backend
	// server: HTTP/2 carries all its tasks over one, and a second may be open
	// while the first one closes.
	maxConnectionShare = 2

	// concurrentLists is the number of versions of the list of entry VMs that
	// may be in use at once while a change spreads. Each version divides only
	// 1/concurrentLists of a backend server's connections, so that two versions
	// together stay within them.
	concurrentLists = 2
)

// ConnectionShare returns how many connections this entry VM may hold to a
// backend server; 0 means that it must not connect. The shares of all entry VMs
// never add up to more than half of the backend server's connections.
func (p *Placer) ConnectionShare(id identifier.BackendID) int {
	b, ok := p.backends[id]
	if !ok {
		return 0
	}
	return b.connections
}

func (p *Placer) connectionShare(b *backendState) int {
	budget := b.Connections / concurrentLists
	n := max(1, len(p.members))
	if budget >= n {
		return min(maxConnectionShare, budget/n)
	}
	if p.ranksWithin(b, budget) {
		return 1
	}
	return 0
}

// ranksWithin reports whether this VM is among the first n that may connect to
// the backend server.
func (p *Placer) ranksWithin(b *backendState, n int) bool {
	return slices.Contains(p.firstRanked(b, n), p.opts.Self)
}

// firstRanked returns the first n VMs that may connect to the backend server:
// the entry VMs of its failure domain come first, then the others, both ordered
// by rendezvous hash.
func (p *Placer) firstRanked(b *backendState, n int) []identifier.Member {
	ranked := slices.Clone(p.members)
	slices.SortFunc(ranked, func(x, y DomainMember) int {
		if (x.Domain == b.Domain) != (y.Domain == b.Domain) {
			if x.Domain == b.Domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousWeight(y.Member, b.ID), rendezvousWeight(x.Member, b.ID))
	})
	members := make([]identifier.Member, min(n, len(ranked)))
	for i := range members {
		members[i] = ranked[i].Member
	}
	return members
}

// rendezvousWeight is the weight of an entry VM for a backend server in
// rendezvous hashing.
func rendezvousWeight(m identifier.Member, id identifier.BackendID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.VM))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
