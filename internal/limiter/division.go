package limiter

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// divisionPrime spreads quotas over the names of divisions.
const divisionPrime = 0x9E3779B97F4A7C15

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

// name is the name of the division of one quota.
func (d *division) name(quota identifier.Slots) uint64 {
	return d.hash ^ (uint64(quota) * divisionPrime)
}

// base is a VM's share of a quota before anything is given. The shares of all
// VMs add up to the quota; what is left over goes to some by rendezvous hash.
func (d *division) base(key laneKey, quota identifier.Slots, m identifier.Member) identifier.Slots {
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

func (d *division) rank(key laneKey, m identifier.Member) int {
	own := weight(key, m)
	rank := 0
	for _, other := range d.members {
		w := weight(key, other)
		if w > own || (w == own && compareMembers(other, m) < 0) {
			rank++
		}
	}
	return rank
}

// weight is the rendezvous hash of an entry VM for a lane.
func weight(key laneKey, m identifier.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(key.team), string(key.profile), m.String()} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
