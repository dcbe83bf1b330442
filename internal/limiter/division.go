package limiter

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// quotaHashFactor is 2^64 divided by the golden ratio; it spreads quotas over
// the division IDs.
const quotaHashFactor = 0x9E3779B97F4A7C15

// division is a list of the entry VMs between which the quotas are divided.
type division struct {
	members []identifier.Member
	hash    uint64
}

func newDivision(members []identifier.Member) division {
	d := division{members: slices.Clone(members)}
	slices.SortFunc(d.members, compareMembers)
	var digest xxhash.Digest
	digest.Reset()
	for _, m := range d.members {
		_, _ = digest.WriteString(m.String())
		_, _ = digest.WriteString("\x00")
	}
	d.hash = digest.Sum64()
	return d
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(strings.Compare(string(a.VM), string(b.VM)), cmp.Compare(a.Incarnation, b.Incarnation))
}

// id identifies the division of one quota.
func (d *division) id(quota identifier.Slots) uint64 {
	return d.hash ^ (uint64(quota) * quotaHashFactor)
}

// baseShare is a VM's share of a quota before any transfer. The base shares of
// all VMs add up to the quota. The remainder of the division is given, one slot
// each, to the first VMs by rendezvous hash.
func (d *division) baseShare(key queueKey, quota identifier.Slots, m identifier.Member) identifier.Slots {
	if !slices.Contains(d.members, m) {
		return 0
	}
	n := identifier.Slots(len(d.members))
	share := quota / n
	if identifier.Slots(d.rank(key, m)) < quota%n {
		share++
	}
	return share
}

func (d *division) rank(key queueKey, m identifier.Member) int {
	own := rendezvousWeight(key, m)
	rank := 0
	for _, other := range d.members {
		w := rendezvousWeight(key, other)
		if w > own || (w == own && compareMembers(other, m) < 0) {
			rank++
		}
	}
	return rank
}

// rendezvousWeight is the weight of an entry VM for a queue in rendezvous hashing.
func rendezvousWeight(key queueKey, m identifier.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(key.team), string(key.profile), m.String()} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
