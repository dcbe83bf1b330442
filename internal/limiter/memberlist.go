package limiter

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// quotaHashFactor is 2^64 divided by the golden ratio; it spreads quotas over the
// division IDs.
const quotaHashFactor = 0x9E3779B97F4A7C15

// memberList is the list of the entry VMs between which the quotas are divided.
type memberList struct {
	members []identifier.Member
	hash    uint64
}

func newMemberList(members []identifier.Member) memberList {
	l := memberList{members: slices.Clone(members)}
	slices.SortFunc(l.members, compareMembers)
	var digest xxhash.Digest
	digest.Reset()
	for _, m := range l.members {
		_, _ = digest.WriteString(m.String())
		_, _ = digest.WriteString("\x00")
	}
	l.hash = digest.Sum64()
	return l
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(strings.Compare(string(a.VM), string(b.VM)), cmp.Compare(a.Incarnation, b.Incarnation))
}

// divisionID identifies the division of a quota between these entry VMs.
func (l *memberList) divisionID(quota identifier.Slots) uint64 {
	return l.hash ^ (uint64(quota) * quotaHashFactor)
}

// baseShare is a VM's share of a quota before any transfer. The base shares of
// all VMs add up to the quota. The slots that are left over when each VM has an
// equal share go, one each, to the first VMs by rendezvous hash.
func (l *memberList) baseShare(key queueKey, quota identifier.Slots, m identifier.Member) identifier.Slots {
	if !slices.Contains(l.members, m) {
		return 0
	}
	n := identifier.Slots(len(l.members))
	share := quota / n
	if identifier.Slots(l.rank(key, m)) < quota%n {
		share++
	}
	return share
}

func (l *memberList) rank(key queueKey, m identifier.Member) int {
	own := rendezvousWeight(key, m)
	rank := 0
	for _, other := range l.members {
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
