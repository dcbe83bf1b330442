package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// outbox holds the records to hand over to one member. One page is in flight at
// a time. The queue holds at most MaxRecords ids.
type outbox struct {
	queue         []identifier.SubmissionID
	page          []identifier.SubmissionID // in flight
	number        peermessenger.PageNumber  // of the page in flight
	inFlight      bool                      // a page is in flight
	sentAt        time.Time
	caughtUpEpoch identifier.Epoch // in which the receiver reported caughtUp
	caughtUp      shardMask        // shards for which the receiver has caught up
}

// handOverEnding queues the ending of a job that ran here for the pair of its
// shard.
func (c *Claimer) handOverEnding(r *peermessenger.ClaimRecord) {
	if c.roster == nil {
		return
	}
	c.unacknowledged[r.Submission] = c.enqueue(r.Submission)
	if c.unacknowledged[r.Submission] == 0 {
		delete(c.unacknowledged, r.Submission)
	}
}

// enqueue puts a record into the outboxes of its pair, except this VM, and
// returns the number of outboxes. It skips an outbox that is full, also in a drain.
func (c *Claimer) enqueue(id identifier.SubmissionID) (receivers int) {
	for _, m := range c.pair(shardOf(id)).members() {
		if m == c.opts.Self {
			continue
		}
		o := c.outbox(m)
		if len(o.queue) >= c.opts.MaxRecords {
			continue // once this process terminates, the receiver may lack the record or its ending
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

// retargetOutboxes redirects what was not acknowledged yet to the pairs of a
// new epoch. Page numbers are never reused, so late acknowledgements match no
// page.
func (c *Claimer) retargetOutboxes() {
	for m, o := range c.outboxes {
		if _, ok := c.roster.Find(m); !ok {
			delete(c.outboxes, m)
			continue
		}
		o.queue, o.page, o.inFlight = nil, nil, false
	}
	for _, id := range sortedIDs(c.unacknowledged) {
		c.unacknowledged[id] = c.enqueue(id)
		if c.unacknowledged[id] == 0 {
			delete(c.unacknowledged, id)
		}
	}
	c.drain.queued = false
}

// flushOutboxes sends or resends a page to each member for which one is due.
func (c *Claimer) flushOutboxes() {
	for _, m := range sortedMembers(c.outboxes) {
		o := c.outboxes[m]
		switch {
		case o.inFlight && c.now.Sub(o.sentAt) >= c.opts.ResendInterval:
			c.sendPage(m, o, o.page)
		case !o.inFlight && len(o.queue) > 0:
			c.sendNextPage(m, o)
		}
	}
}

func (c *Claimer) sendNextPage(to identifier.Member, o *outbox) {
	budget := pageBudget{records: c.opts.PageRecords, bytes: c.opts.PageBytes}
	n := 0
	for _, id := range o.queue {
		if r := c.recordFor(to, id); r != nil && !budget.reserve(r) {
			break
		}
		n++
	}
	o.page, o.queue = o.queue[:n:n], o.queue[n:]
	c.lastPage++
	o.number = c.lastPage
	o.inFlight = true
	c.sendPage(to, o, o.page)
}

func (c *Claimer) sendPage(to identifier.Member, o *outbox, ids []identifier.SubmissionID) {
	o.sentAt = c.now
	m := peermessenger.HandOverRecords{Number: o.number}
	for _, id := range ids {
		if r := c.recordFor(to, id); r != nil {
			m.Records = append(m.Records, *r)
		}
	}
	c.send(to, m)
}

// recordFor returns the record in the form that a member gets. The home gets the
// full ending. The witness gets an ending above MaxWitnessEndingBytes only when
// this VM is draining; otherwise its copy of the record has only the kind.
func (c *Claimer) recordFor(to identifier.Member, id identifier.SubmissionID) *peermessenger.ClaimRecord {
	r := c.records.get(id)
	if r == nil || c.draining || c.pair(shardOf(id)).Home == to {
		return r
	}
	return c.limitEnding(r, c.opts.MaxWitnessEndingBytes)
}

func (c *Claimer) handleHandOverRecords(sender identifier.Member, m peermessenger.HandOverRecords) {
	if c.peerRecordsFull() {
		return // the sender sends the page again
	}
	for i := range m.Records {
		c.merge(&m.Records[i])
	}
	reply := peermessenger.HandoverAcknowledged{Number: m.Number}
	if c.hasLatestRoster() {
		reply.Epoch = c.roster.Epoch
		reply.CaughtUpShards = uint64(c.caughtUpShards())
	}
	c.send(sender, reply)
	c.decideWaiting()
}

// caughtUpShards returns the shards for which this VM has caught up in the
// current epoch.
func (c *Claimer) caughtUpShards() (mask shardMask) {
	for s := range c.shards {
		if c.shards[s].caughtUpEpoch >= c.roster.Epoch {
			mask.add(Shard(s))
		}
	}
	return mask
}

func (c *Claimer) handleHandoverAcknowledged(sender identifier.Member, m peermessenger.HandoverAcknowledged) {
	c.learnEpoch(sender, m.Epoch)
	o, ok := c.outboxes[sender]
	if !ok || !o.inFlight || m.Number != o.number {
		return
	}
	for _, id := range o.page {
		if c.unacknowledged[id]--; c.unacknowledged[id] <= 0 {
			delete(c.unacknowledged, id)
		}
	}
	o.page, o.inFlight = nil, false
	o.caughtUpEpoch, o.caughtUp = m.Epoch, shardMask(m.CaughtUpShards)
	if len(o.queue) > 0 && c.draining {
		c.sendNextPage(sender, o)
	}
	c.advanceDrain()
}
