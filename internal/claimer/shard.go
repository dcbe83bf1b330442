package claimer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// ShardCount is the number of shards into which the submissions of a failure
// domain are divided.
const ShardCount = 64

// Shard numbers a shard, from 0.
type Shard uint8

// shardMask has one bit for each shard.
type shardMask uint64

func (m shardMask) has(s Shard) bool { return m&(1<<s) != 0 }
func (m *shardMask) add(s Shard)     { *m |= 1 << s }

// shardOf returns the shard of an id.
func shardOf(id identifier.SubmissionID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % ShardCount)
}

// Pair is the home and the witness of a shard in one epoch. A zero member means
// none: a failure domain with a single member has no witness.
type Pair struct {
	Home    identifier.Member
	Witness identifier.Member
}

func (p Pair) has(m identifier.Member) bool { return p.Home == m || p.Witness == m }

func (p Pair) lacksWitness() bool { return p.Witness == identifier.Member{} }

func (p Pair) empty() bool { return p.Home == identifier.Member{} }

// members returns the members of the pair, home first.
func (p Pair) members() []identifier.Member {
	switch {
	case p.empty():
		return nil
	case p.lacksWitness():
		return []identifier.Member{p.Home}
	}
	return []identifier.Member{p.Home, p.Witness}
}

// pairTable holds the pair of each shard in one epoch.
type pairTable [ShardCount]Pair

// newPairTable returns the pair of each shard among the members of an epoch.
func newPairTable(members []enroller.RosterMember) (table pairTable) {
	for s := range table {
		table[s] = newPair(members, Shard(s))
	}
	return table
}

// newPair ranks the members that are not leaving by rendezvous hash: the
// highest becomes the home and the second the witness.
func newPair(members []enroller.RosterMember, s Shard) (p Pair) {
	var home, witness uint64
	for _, entry := range members {
		if entry.Leaving {
			continue
		}
		h := rank(entry.Member, s)
		switch {
		case p.empty() || h > home:
			p.Witness, witness = p.Home, home
			p.Home, home = entry.Member, h
		case p.lacksWitness() || h > witness:
			p.Witness, witness = entry.Member, h
		}
	}
	return p
}

func rank(m identifier.Member, s Shard) uint64 {
	var buf [rankKeyBytes]byte
	key := append(buf[:0], m.VM...)
	key = append(key, '#')
	key = strconv.AppendUint(key, uint64(m.Incarnation), 10)
	key = append(key, '/')
	key = strconv.AppendUint(key, uint64(s), 10)
	return xxhash.Sum64(key)
}

// rankKeyBytes is the size of the buffer for the hashed key, enough for most VM
// names.
const rankKeyBytes = 64

// PairOf returns the home and the witness of a submission under a roster. The
// pair is empty when all members of the roster are leaving.
func PairOf(r *enroller.Roster, id identifier.SubmissionID) Pair {
	return newPair(r.Members, shardOf(id))
}
