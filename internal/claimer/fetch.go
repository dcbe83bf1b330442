package claimer

import (
	"math/bits"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// triesUntilUnreachable is the number of unanswered requests after which a member
// is treated as unreachable, so that the other member of the pair is asked too.
const triesUntilUnreachable = 3

// maxResendDoublings bounds the backoff between unanswered requests.
const maxResendDoublings = 5

// fetch requests the records of some shards from one member, page by page.
type fetch struct {
	request peermessenger.FetchRecords // its From is the cursor of the next page
	states  []peermessenger.ShardState // as reported on the pages so far
	sentAt  time.Time
	tries   int
}

// startFetches requests the missing shards from each member and cancels the
// fetches that are no longer needed.
func (c *Claimer) startFetches(missing map[identifier.Member]shardMask) {
	for m := range c.fetches {
		if missing[m] == 0 {
			delete(c.fetches, m)
		}
	}
	for _, m := range sortedMembers(missing) {
		if c.fetches[m] != nil {
			continue
		}
		f := &fetch{request: peermessenger.FetchRecords{Epoch: c.roster.Epoch, Shards: uint64(missing[m])}}
		f.request.From.Shard = uint8(bits.TrailingZeros64(f.request.Shards))
		c.fetches[m] = f
		c.sendFetch(m, f)
	}
}

func (c *Claimer) sendFetch(to identifier.Member, f *fetch) {
	f.sentAt = c.now
	f.tries++
	c.send(to, f.request)
}

func (c *Claimer) resendFetches() {
	for _, m := range sortedMembers(c.fetches) {
		f := c.fetches[m]
		if c.now.Sub(f.sentAt) < c.opts.ResendInterval<<min(max(f.tries-triesUntilUnreachable, 0), maxResendDoublings) {
			continue
		}
		if f.tries >= triesUntilUnreachable {
			c.unreachable[m] = true
		}
		c.sendFetch(m, f)
	}
}

// handleFetchRecords runs on a member of an earlier pair: it answers with a
// page of records.
func (c *Claimer) handleFetchRecords(sender identifier.Member, m peermessenger.FetchRecords) {
	c.learnEpoch(sender, m.Epoch)
	if m.From.Shard >= ShardCount {
		return
	}
	page := peermessenger.RecordPage{Epoch: m.Epoch, Shards: m.Shards, From: m.From, Current: c.promised}
	c.fillPage(&page)
	c.send(sender, page)
}

func (c *Claimer) fillPage(page *peermessenger.RecordPage) {
	budget := pageBudget{records: c.opts.PageRecords, bytes: c.opts.PageBytes}
	cursor := page.From
	for s := Shard(cursor.Shard); s < ShardCount; s++ {
		if !shardMask(page.Shards).has(s) {
			continue
		}
		if cursor.Shard != uint8(s) {
			cursor = peermessenger.ShardCursor{Shard: uint8(s)}
		}
		if cursor.After == "" {
			page.States = append(page.States, c.shardReport(s))
		}
		for _, id := range c.records.idsAfter(s, cursor.After) {
			r := c.limitEnding(c.records.get(id), c.opts.MaxWitnessEndingBytes)
			if !budget.reserve(r) {
				page.Next = cursor
				return
			}
			page.Records = append(page.Records, *r)
			cursor.After = id
		}
	}
	page.Last = true
}

func (c *Claimer) shardReport(s Shard) peermessenger.ShardState {
	state := &c.shards[s]
	return peermessenger.ShardState{Shard: uint8(s), CaughtUpEpoch: state.caughtUpEpoch, LostBefore: state.lostBefore}
}

// limitEnding returns the record, without its ending if that is larger than
// size.
func (c *Claimer) limitEnding(r *peermessenger.ClaimRecord, size identifier.Bytes) *peermessenger.ClaimRecord {
	if endingSize(r) > size {
		return withoutEnding(r)
	}
	return r
}

// pageBudget is the space left on a page.
type pageBudget struct {
	records int
	bytes   identifier.Bytes
	started bool
}

// reserve takes the space of a record and reports whether there was enough. The
// first record always fits.
func (p *pageBudget) reserve(r *peermessenger.ClaimRecord) bool {
	size := recordSize(r)
	if p.started && (p.records < 1 || p.bytes < size) {
		return false
	}
	p.started = true
	p.records--
	p.bytes -= size
	return true
}

func (c *Claimer) handleRecordPage(sender identifier.Member, m peermessenger.RecordPage) {
	c.learnEpoch(sender, m.Current)
	f := c.fetches[sender]
	if f == nil || m.Epoch != f.request.Epoch || m.Shards != f.request.Shards || m.From != f.request.From {
		return
	}
	if c.peerRecordsFull() {
		return // this VM requests the page again later
	}
	for i := range m.Records {
		c.merge(&m.Records[i])
	}
	f.states = append(f.states, m.States...)
	if !m.Last {
		f.request.From = m.Next
		f.tries = 0
		c.sendFetch(sender, f)
		return
	}
	delete(c.fetches, sender)
	c.storeReplies(sender, f)
	c.advanceTakeover()
}

func (c *Claimer) storeReplies(sender identifier.Member, f *fetch) {
	for _, reported := range f.states {
		if reported.Shard >= ShardCount {
			continue
		}
		state := &c.shards[reported.Shard]
		if state.replies == nil {
			state.replies = map[identifier.Member]shardReply{}
		}
		state.replies[sender] = shardReply{promised: f.request.Epoch, caughtUpEpoch: reported.CaughtUpEpoch}
		state.lostBefore = max(state.lostBefore, reported.LostBefore)
	}
}
