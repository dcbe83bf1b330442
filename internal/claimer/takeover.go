package claimer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// takeoverState is what this VM knows of a shard beyond its records. A member has
// caught up in an epoch when it has all records of the shard from the earlier
// epochs.
type takeoverState struct {
	caughtUpEpoch identifier.Epoch         // the latest epoch in which this VM was in the pair and caught up
	lostBefore    peermessenger.UnixMillis // records of ids created until then may be lost
	lossAccepted  map[identifier.Epoch]bool
	replies       map[identifier.Member]shardReply
}

// shardReply is what a member has reported of a shard, after promising not to
// act as home or witness in epochs before promised. Its records have been merged.
type shardReply struct {
	promised      identifier.Epoch
	caughtUpEpoch identifier.Epoch
}

// forgetBefore drops what is known of epochs that takeover no longer reaches.
func (s *takeoverState) forgetBefore(base identifier.Epoch) {
	for epoch := range s.lossAccepted {
		if epoch < base {
			delete(s.lossAccepted, epoch)
		}
	}
	for m, reply := range s.replies {
		if reply.promised <= base {
			delete(s.replies, m)
		}
	}
}

// advanceTakeover continues the takeover of all shards as far as possible,
// requests the missing records from members, and decides the requests that wait
// for them.
func (c *Claimer) advanceTakeover() {
	if c.roster == nil {
		return
	}
	missing := map[identifier.Member]shardMask{}
	caughtUp := true
	for i := range c.shards {
		s := Shard(i)
		if !c.pair(s).has(c.opts.Self) || c.shards[s].caughtUpEpoch >= c.roster.Epoch {
			continue
		}
		epoch, done := c.checkEarlierEpochs(s)
		if done {
			c.shards[s].caughtUpEpoch = c.roster.Epoch
			continue
		}
		caughtUp = false
		for _, m := range c.fetchTargets(s, epoch) {
			mask := missing[m]
			mask.add(s)
			missing[m] = mask
		}
	}
	c.startFetches(missing)
	c.reportCaughtUp(caughtUp)
	c.decideWaiting()
}

func (c *Claimer) reportCaughtUp(caughtUp bool) {
	if caughtUp && c.reportedEpoch < c.roster.Epoch {
		c.reportedEpoch = c.roster.Epoch
		c.emit(RecordsCaughtUp{Epoch: c.roster.Epoch})
	}
}

// checkEarlierEpochs goes back over the epochs before the current one. In each
// of them, at least one member of the pair must have promised not to act as home
// or witness in it any more, and its records must have been merged, until a
// member that has caught up in its epoch has replied. It returns the epoch whose
// pair must be asked next, or that the takeover is done.
//
// No epoch may be skipped, even if a member of an earlier pair has caught up:
// the pair of an epoch between may have started jobs that this member does not
// know.
func (c *Claimer) checkEarlierEpochs(s Shard) (epoch identifier.Epoch, done bool) {
	if c.opts.defects.skipToAnyCaughtUp && c.checkAnyEarlierEpoch(s) {
		return 0, true
	}
	epoch = c.roster.Epoch - 1
	if c.opts.defects.skipEpoch && epoch > c.roster.Base {
		epoch--
	}
	for ; epoch >= c.roster.Base; epoch-- {
		switch c.checkEpochClosed(s, epoch) {
		case closedByCaughtUp:
			return 0, true
		case notClosed:
			return epoch, false
		}
	}
	return 0, true
}

// checkAnyEarlierEpoch is a defect for tests: it accepts a caught-up member of any
// earlier epoch and leaves the epochs between open.
func (c *Claimer) checkAnyEarlierEpoch(s Shard) bool {
	for epoch := c.roster.Base; epoch < c.roster.Epoch; epoch++ {
		if c.checkEpochClosed(s, epoch) == closedByCaughtUp {
			return true
		}
	}
	return false
}

// epochClosure says whether an epoch is closed for a shard, and whether the
// takeover needs to go back further.
type epochClosure int

const (
	notClosed        epochClosure = iota // no member of the pair has promised not to act in it, and not all have terminated
	closed                               // a member of the pair has promised not to act in it, or all have terminated, or the pair is empty
	closedByCaughtUp                     // a member that has caught up in the epoch has promised it; earlier epochs are not needed
)

// checkEpochClosed returns whether an epoch is closed for a shard, by the replies
// of its pair. If all members of the pair have terminated without a promise, it
// notes that their records are lost, and the epoch counts as closed.
func (c *Claimer) checkEpochClosed(s Shard, epoch identifier.Epoch) epochClosure {
	state := &c.shards[s]
	result := notClosed
	terminated := 0
	members := c.pairs[epoch][s].members()
	for _, m := range members {
		reply := state.replies[m]
		if m == c.opts.Self {
			reply = shardReply{promised: c.promised, caughtUpEpoch: state.caughtUpEpoch}
		}
		switch {
		case reply.promised > epoch && reply.caughtUpEpoch >= epoch:
			return closedByCaughtUp
		case reply.promised > epoch:
			result = closed
		case c.hasTerminated(m), c.opts.defects.treatUnreachableAsTerminated && c.unreachable[m]:
			terminated++
		}
	}
	if result == notClosed && terminated == len(members) {
		c.acceptLoss(s, epoch)
		result = closed
	}
	return result
}

// acceptLoss notes that the records of a pair are lost, since all its members have
// terminated. Ids that they may have claimed were created before now plus
// lossMargin clock bounds.
func (c *Claimer) acceptLoss(s Shard, epoch identifier.Epoch) {
	state := &c.shards[s]
	if c.pairs[epoch][s].empty() || state.lossAccepted[epoch] {
		return
	}
	if state.lossAccepted == nil {
		state.lossAccepted = map[identifier.Epoch]bool{}
	}
	state.lossAccepted[epoch] = true
	state.lostBefore = max(state.lostBefore, c.nowPlus(lossMargin*c.opts.ClockBound))
}

// fetchTargets returns the members of an epoch's pair to fetch records from: the
// first one that is reachable, or all that have not terminated if none is.
func (c *Claimer) fetchTargets(s Shard, epoch identifier.Epoch) (members []identifier.Member) {
	for _, m := range c.pairs[epoch][s].members() {
		if c.hasTerminated(m) {
			continue
		}
		if !c.unreachable[m] {
			return []identifier.Member{m}
		}
		members = append(members, m)
	}
	return members
}
