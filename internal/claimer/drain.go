package claimer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// drainState is the progress of the handover before this process ends.
type drainState struct {
	queued bool // all records were passed to enqueue in the current epoch
}

// advanceDrain hands all records to the pairs of their shards once no job runs
// here, except those that enqueue skips because an outbox is full. The drain is
// complete when every receiver has acknowledged its records and has caught up
// itself, so that no member needs this VM any more.
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
		c.queueAllRecords()
	}
	if c.inCurrentPair() && len(c.roster.Members) > 1 {
		return // the roster does not yet show that this VM is leaving
	}
	if c.hasLatestRoster() && c.confirmReceipts() {
		c.endDrain()
	}
}

func (c *Claimer) endDrain() {
	c.drained = true
	c.emit(Drained{})
}

func (c *Claimer) queueAllRecords() {
	for s := range c.records.shards {
		for _, id := range c.records.idsAfter(Shard(s), "") {
			c.enqueue(id)
		}
	}
	for s := range c.shards {
		for _, m := range c.pair(Shard(s)).members() {
			if m != c.opts.Self {
				c.outbox(m).caughtUpEpoch = 0 // the receiver must report again that it has caught up
			}
		}
	}
	c.flushOutboxes()
}

// inCurrentPair reports whether this VM is the home or the witness of a shard in
// the current epoch.
func (c *Claimer) inCurrentPair() bool {
	for s := range c.shards {
		if c.pair(Shard(s)).has(c.opts.Self) {
			return true
		}
	}
	return false
}

// confirmReceipts sends a page, which may be empty, to each receiver that has not
// acknowledged all records or not reported that it has caught up, unless a page
// is in flight or was sent within ResendInterval. It reports whether there is no
// such receiver.
func (c *Claimer) confirmReceipts() bool {
	all := true
	needed := map[identifier.Member]shardMask{}
	for s := range c.shards {
		if !c.mayHoldRecords(Shard(s)) {
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
		if m == c.opts.Self || !o.inFlight && len(o.queue) == 0 && o.caughtUpEpoch == c.roster.Epoch && o.caughtUp&needed[m] == needed[m] {
			continue
		}
		all = false
		if !o.inFlight && c.now.Sub(o.sentAt) >= c.opts.ResendInterval {
			c.sendNextPage(m, o)
		}
	}
	return all
}

// mayHoldRecords reports whether this VM keeps records of the shard, or was in
// its pair in an epoch that takeover may still reach.
func (c *Claimer) mayHoldRecords(s Shard) bool {
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
