package claimer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// shardState is what this VM knows of a shard as a whole.
type shardState struct {
	whole      identifier.Epoch         // latest epoch of whose pair this VM was one and for which it is whole
	lostBefore peermessenger.UnixMillis // records of ids made until then may be lost
	accepted   map[identifier.Epoch]bool
	replies    map[identifier.Member]shardReply
}

// shardReply is what a member has told of a shard, after it had promised not to
// act under epochs before promised. Its records have been merged.
type shardReply struct {
	promised identifier.Epoch
	whole    identifier.Epoch
}

// forgetBefore drops what is known of epochs that takeover no longer reaches.
func (s *shardState) forgetBefore(base identifier.Epoch) {
	for epoch := range s.accepted {
		if epoch < base {
			delete(s.accepted, epoch)
		}
	}
	for m, reply := range s.replies {
		if reply.promised <= base {
			delete(s.replies, m)
		}
	}
}

// advance takes the takeover of all shards as far as possible, asks members for
// the records that it lacks, and decides the asks that wait for it.
func (c *Claimer) advance() {
	if c.roster == nil {
		return
	}
	missing := map[identifier.Member]shardMask{}
	whole := true
	for i := range c.shards {
		s := Shard(i)
		if !c.pair(s).has(c.opts.Self) || c.shards[s].whole >= c.roster.Epoch {
			continue
		}
		epoch, done := c.walk(s)
		if done {
			c.shards[s].whole = c.roster.Epoch
			continue
		}
		whole = false
		for _, m := range c.candidates(s, epoch) {
			mask := missing[m]
			mask.add(s)
			missing[m] = mask
		}
	}
	c.startFetches(missing)
	c.reportWhole(whole)
	c.decideWaiting()
}

func (c *Claimer) reportWhole(whole bool) {
	if whole && c.reported < c.roster.Epoch {
		c.reported = c.roster.Epoch
		c.emit(RecordsWhole{Epoch: c.roster.Epoch})
	}
}

// walk goes back over the epochs before the present one. In each, at least one
// member of the pair must have promised not to act under it any more, and its
// records must have been merged, until a member that is whole for its epoch has
// answered. It returns the epoch whose pair has to be asked next, or that the
// walk is done.
//
// An epoch may not be skipped even if a member of an earlier pair is whole: the
// pair between may have let jobs start of which that member knows nothing.
func (c *Claimer) walk(s Shard) (epoch identifier.Epoch, done bool) {
	if c.opts.defects.askAnyEarlierWhole && c.anyEarlierWhole(s) {
		return 0, true
	}
	epoch = c.roster.Epoch - 1
	if c.opts.defects.skipEpoch && epoch > c.roster.Base {
		epoch--
	}
	for ; epoch >= c.roster.Base; epoch-- {
		switch c.closing(s, epoch) {
		case closedByWhole:
			return 0, true
		case notClosed:
			return epoch, false
		}
	}
	return 0, true
}

// anyEarlierWhole is a defect for tests: it does not close the epochs between.
func (c *Claimer) anyEarlierWhole(s Shard) bool {
	for epoch := c.roster.Base; epoch < c.roster.Epoch; epoch++ {
		if c.closing(s, epoch) == closedByWhole {
			return true
		}
	}
	return false
}

// closing is what has been reached for one shard in one epoch.
type closing int

const (
	notClosed     closing = iota
	closed                // a member of the pair was asked
	closedByWhole         // a member that is whole for the epoch was asked
)

func (c *Claimer) closing(s Shard, epoch identifier.Epoch) closing {
	state := &c.shards[s]
	result := notClosed
	gone := 0
	members := c.pairs[epoch][s].members()
	for _, m := range members {
		reply := state.replies[m]
		if m == c.opts.Self {
			reply = shardReply{promised: c.promised, whole: state.whole}
		}
		switch {
		case reply.promised > epoch && reply.whole >= epoch:
			return closedByWhole
		case reply.promised > epoch:
			result = closed
		case c.isGone(m), c.opts.defects.guessLoss && c.silent[m]:
			gone++
		}
	}
	if result == notClosed && gone == len(members) {
		c.acceptLoss(s, epoch)
		result = closed
	}
	return result
}

// acceptLoss notes that all members of a pair are gone with their records. Ids
// that they may have claimed were made before now, plus the clock bounds.
func (c *Claimer) acceptLoss(s Shard, epoch identifier.Epoch) {
	state := &c.shards[s]
	if c.pairs[epoch][s].empty() || state.accepted[epoch] {
		return
	}
	if state.accepted == nil {
		state.accepted = map[identifier.Epoch]bool{}
	}
	state.accepted[epoch] = true
	state.lostBefore = max(state.lostBefore, c.millis(lossMargin*c.opts.ClockBound))
}

// candidates returns the members of an epoch's pair that are to be asked: one
// that is not known to be silent if there is any, else all.
func (c *Claimer) candidates(s Shard, epoch identifier.Epoch) (members []identifier.Member) {
	for _, m := range c.pairs[epoch][s].members() {
		if c.isGone(m) {
			continue
		}
		if !c.silent[m] {
			return []identifier.Member{m}
		}
		members = append(members, m)
	}
	return members
}
