package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// outbox holds the records that are to be handed to one member. One page is
// under way at a time. Its length is bounded by the table of records.
type outbox struct {
	queue  []identifier.SubmissionID
	page   []identifier.SubmissionID // under way
	number peermessenger.PageNumber  // of the page under way
	open   bool                      // a page is under way
	sentAt time.Time
	epoch  identifier.Epoch // for which whole was told
	whole  shardMask
}

// handOver hands the ending of a job that ran here to the pair of its shard.
func (c *Claimer) handOver(r *peermessenger.ClaimRecord) {
	if c.roster == nil {
		return
	}
	c.unhanded[r.Submission] = c.enqueue(r.Submission)
	if c.unhanded[r.Submission] == 0 {
		delete(c.unhanded, r.Submission)
	}
}

// enqueue puts a record into the outboxes of its pair, without this VM.
func (c *Claimer) enqueue(id identifier.SubmissionID) (receivers int) {
	for _, m := range c.pair(shardOf(id)).members() {
		if m == c.opts.Self {
			continue
		}
		o := c.outbox(m)
		if len(o.queue) >= c.opts.MaxRecords {
			continue // the receiver lacks an ending if this VM dies
		}
		o.queue = append(o.queue, id)
		receivers++
	}
	return receivers
}

func (c *Claimer) outbox(m identifier.Member) *outbox {
	o, ok := c.outboxes[m]
	if !ok {
		o = &outbox{}
		c.outboxes[m] = o
	}
	return o
}

// retargetOutboxes directs what was not received yet to the pairs of a new
// epoch. Page numbers are never reused, so that late acknowledgements match
// nothing.
func (c *Claimer) retargetOutboxes() {
	for m, o := range c.outboxes {
		if _, ok := c.roster.Find(m); !ok {
			delete(c.outboxes, m)
			continue
		}
		o.queue, o.page, o.open = nil, nil, false
	}
	for _, id := range sortedIDs(c.unhanded) {
		c.unhanded[id] = c.enqueue(id)
		if c.unhanded[id] == 0 {
			delete(c.unhanded, id)
		}
	}
	c.drain.queued = false
}

// flushOutboxes sends a page to each member for which one is due.
func (c *Claimer) flushOutboxes() {
	for _, m := range sortedMembers(c.outboxes) {
		o := c.outboxes[m]
		switch {
		case o.open && c.now.Sub(o.sentAt) >= c.opts.Resend:
			c.sendHanded(m, o, o.page)
		case !o.open && len(o.queue) > 0:
			c.sendNextPage(m, o)
		}
	}
}

func (c *Claimer) sendNextPage(to identifier.Member, o *outbox) {
	room := pageRoom{records: c.opts.PageRecords, bytes: c.opts.PageBytes}
	n := 0
	for _, id := range o.queue {
		if r := c.handed(to, id); r != nil && !room.take(r) {
			break
		}
		n++
	}
	o.page, o.queue = o.queue[:n:n], o.queue[n:]
	c.pages++
	o.number = c.pages
	o.open = true
	c.sendHanded(to, o, o.page)
}

func (c *Claimer) sendHanded(to identifier.Member, o *outbox, ids []identifier.SubmissionID) {
	o.sentAt = c.now
	m := peermessenger.HandRecords{Number: o.number}
	for _, id := range ids {
		if r := c.handed(to, id); r != nil {
			m.Records = append(m.Records, *r)
		}
	}
	c.send(to, m)
}

// handed returns the record as it is handed to a member: the home gets the whole
// ending, the witness a large one only when this VM is to end.
func (c *Claimer) handed(to identifier.Member, id identifier.SubmissionID) *peermessenger.ClaimRecord {
	r := c.records.get(id)
	if r == nil || c.draining || c.pair(shardOf(id)).Home == to {
		return r
	}
	return c.shorten(r, c.opts.SmallEnding)
}

func (c *Claimer) handRecords(from identifier.Member, m peermessenger.HandRecords) {
	if c.overflowing() {
		return // the sender tries again
	}
	for i := range m.Records {
		c.merge(&m.Records[i])
	}
	reply := peermessenger.RecordsHanded{Number: m.Number}
	if c.acting() {
		reply.Epoch = c.roster.Epoch
		reply.Whole = uint64(c.wholeShards())
	}
	c.send(from, reply)
	c.decideWaiting()
}

// wholeShards returns the shards for which this VM is whole in the present epoch.
func (c *Claimer) wholeShards() (mask shardMask) {
	for s := range c.shards {
		if c.shards[s].whole >= c.roster.Epoch {
			mask.add(Shard(s))
		}
	}
	return mask
}

func (c *Claimer) recordsHanded(from identifier.Member, m peermessenger.RecordsHanded) {
	c.promiseTo(from, m.Epoch)
	o, ok := c.outboxes[from]
	if !ok || !o.open || m.Number != o.number {
		return
	}
	for _, id := range o.page {
		if c.unhanded[id]--; c.unhanded[id] <= 0 {
			delete(c.unhanded, id)
		}
	}
	o.page, o.open = nil, false
	o.epoch, o.whole = m.Epoch, shardMask(m.Whole)
	if len(o.queue) > 0 && c.draining {
		c.sendNextPage(from, o)
	}
	c.advanceDrain()
}
