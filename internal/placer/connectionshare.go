package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// maxConnectionShare bounds one entry VM's connections to one backend
	// server: HTTP/2 carries all its tasks over one, and a second may overlap
	// while the first one closes.
	maxConnectionShare = 2

	// viewsAtOnce is how many versions of the list of entry VMs may be in use
	// at once while a change spreads. Each version shares out this fraction of
	// a backend server's connections, so that two together stay within them.
	viewsAtOnce = 2
)

// ConnectionShare returns how many connections this entry VM may hold to a
// backend server. The shares of all entry VMs never add up to more than half of
// the backend server's connections; 0 means that it must not connect.
func (p *Placer) ConnectionShare(id identifier.BackendID) int {
	b, ok := p.backends[id]
	if !ok {
		return 0
	}
	return b.connections
}

func (p *Placer) connectionShare(b *backendState) int {
	budget := b.Connections / viewsAtOnce
	n := max(1, len(p.members))
	if budget >= n {
		return min(maxConnectionShare, budget/n)
	}
	if p.ranksWithin(b, budget) {
		return 1
	}
	return 0
}

// ranksWithin reports whether this VM is among the first n that connect to the
// backend server: its failure domain's entry VMs come first, then the others by
// rendezvous hash.
func (p *Placer) ranksWithin(b *backendState, n int) bool {
	return slices.Contains(p.ranked(b, n), p.opts.Self)
}

// ranked returns the first n VMs that connect to the backend server.
func (p *Placer) ranked(b *backendState, n int) []identifier.Member {
	ranked := slices.Clone(p.members)
	slices.SortFunc(ranked, func(x, y DomainMember) int {
		if (x.Domain == b.Domain) != (y.Domain == b.Domain) {
			if x.Domain == b.Domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous(y.Member, b.ID), rendezvous(x.Member, b.ID))
	})
	first := make([]identifier.Member, min(n, len(ranked)))
	for i := range first {
		first[i] = ranked[i].Member
	}
	return first
}

// rendezvous is the weight of an entry VM for a backend server.
func rendezvous(m identifier.Member, id identifier.BackendID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.VM))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
