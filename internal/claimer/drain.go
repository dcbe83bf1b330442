package claimer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// drainState is how far the handover before the end of the process has come.
type drainState struct {
	queued bool // all records are in the outboxes of the present epoch
}

// advanceDrain hands all records to the pairs of their shards once no job runs
// here. The drain is over when every receiver has acknowledged them and is
// whole itself, so that nobody needs this VM any more.
func (c *Claimer) advanceDrain() {
	if !c.draining || c.drained || len(c.running) > 0 {
		return
	}
	if c.roster == nil {
		c.endDrain() // there is nothing to hand over
		return
	}
	if !c.drain.queued {
		c.drain.queued = true
		c.queueAll()
	}
	if c.holdsClaims() && len(c.roster.Members) > 1 {
		return // the roster does not show yet that this VM leaves
	}
	if c.acting() && c.allReceived() {
		c.endDrain()
	}
}

func (c *Claimer) endDrain() {
	c.drained = true
	c.emit(Drained{})
}

func (c *Claimer) queueAll() {
	for s := range c.records.shards {
		for _, id := range c.records.idsAfter(Shard(s), "") {
			c.enqueue(id)
		}
	}
	for s := range c.shards {
		for _, m := range c.pair(Shard(s)).members() {
			if m != c.opts.Self {
				c.outbox(m).epoch = 0 // to be told anew
			}
		}
	}
	c.flushOutboxes()
}

// holdsClaims reports whether this VM is in a pair of the present epoch.
func (c *Claimer) holdsClaims() bool {
	for s := range c.shards {
		if c.pair(Shard(s)).has(c.opts.Self) {
			return true
		}
	}
	return false
}

// allReceived reports whether all receivers have acknowledged the records and
// are whole. It asks those of whom this is not known.
func (c *Claimer) allReceived() bool {
	all := true
	needed := map[identifier.Member]shardMask{}
	for s := range c.shards {
		if !c.heldBefore(Shard(s)) {
			continue
		}
		for _, m := range c.pair(Shard(s)).members() {
			mask := needed[m]
			mask.add(Shard(s))
			needed[m] = mask
		}
	}
	for _, m := range sortedMembers(needed) {
		o := c.outbox(m)
		if m == c.opts.Self || !o.open && len(o.queue) == 0 && o.epoch == c.roster.Epoch && o.whole&needed[m] == needed[m] {
			continue
		}
		all = false
		if !o.open && c.now.Sub(o.sentAt) >= c.opts.Resend {
			c.sendNextPage(m, o)
		}
	}
	return all
}

// heldBefore reports whether this VM was in the shard's pair in an epoch that
// takeover may still reach, or keeps records of it.
func (c *Claimer) heldBefore(s Shard) bool {
	if len(c.records.shards[s]) > 0 {
		return true
	}
	for _, pairs := range c.pairs {
		if pairs[s].has(c.opts.Self) {
			return true
		}
	}
	return false
}
