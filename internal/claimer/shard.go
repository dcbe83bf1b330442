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

// shardMask has a bit for each shard.
type shardMask uint64

func (m shardMask) has(s Shard) bool { return m&(1<<s) != 0 }
func (m *shardMask) add(s Shard)     { *m |= 1 << s }

// shardOf returns the shard of an id.
func shardOf(id identifier.SubmissionID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % ShardCount)
}

// Pair is the home and the witness of a shard in one epoch. The zero member
// stands for none: a failure domain with a single member has no witness.
type Pair struct {
	Home    identifier.Member
	Witness identifier.Member
}

func (p Pair) has(m identifier.Member) bool { return p.Home == m || p.Witness == m }

func (p Pair) solo() bool { return p.Witness == identifier.Member{} }

func (p Pair) empty() bool { return p.Home == identifier.Member{} }

// members returns the members of the pair, home first.
func (p Pair) members() []identifier.Member {
	switch {
	case p.empty():
		return nil
	case p.solo():
		return []identifier.Member{p.Home}
	}
	return []identifier.Member{p.Home, p.Witness}
}

// pairTable holds the pair of each shard in one epoch.
type pairTable [ShardCount]Pair

// newPairTable ranks the members that are not leaving by rendezvous hash: for
// each shard the highest becomes the home and the next the witness.
func newPairTable(members []enroller.RosterMember) (table pairTable) {
	var best [ShardCount][2]uint64
	for _, entry := range members {
		if entry.Leaving {
			continue
		}
		key := entry.Member.String() + "/"
		for s := range table {
			h := xxhash.Sum64String(key + strconv.Itoa(s))
			p, b := &table[s], &best[s]
			switch {
			case p.empty() || h > b[0]:
				p.Witness, b[1] = p.Home, b[0]
				p.Home, b[0] = entry.Member, h
			case p.solo() || h > b[1]:
				p.Witness, b[1] = entry.Member, h
			}
		}
	}
	return table
}

// PairOf returns the home and the witness of a submission under a roster. The
// pair is empty when no member of the roster holds claims.
func PairOf(r *enroller.Roster, id identifier.SubmissionID) Pair {
	return newPairTable(r.Members)[shardOf(id)]
}
