package claimer

import (
	"math/bits"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// silentAfter is the number of unanswered requests after which a member is
// taken for silent, so that the other member of the pair is asked too.
const silentAfter = 3

// maxResendDoublings bounds the growth of the time between requests that are not
// answered.
const maxResendDoublings = 5

// fetch gathers the records of some shards from one member, page by page.
type fetch struct {
	request peermessenger.FetchRecords
	states  []peermessenger.ShardState
	sentAt  time.Time
	tries   int
}

// startFetches asks the members for the shards that lack their records, and gives
// up the fetches that nothing depends on any more.
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
		if c.now.Sub(f.sentAt) < c.opts.Resend<<min(max(f.tries-silentAfter, 0), maxResendDoublings) {
			continue
		}
		if f.tries >= silentAfter {
			c.silent[m] = true
		}
		c.sendFetch(m, f)
	}
}

// fetchRecords is the duty of a member of an earlier pair.
func (c *Claimer) fetchRecords(from identifier.Member, m peermessenger.FetchRecords) {
	c.promiseTo(from, m.Epoch)
	if m.From.Shard >= ShardCount {
		return
	}
	page := peermessenger.RecordPage{Epoch: m.Epoch, Shards: m.Shards, From: m.From, Current: c.promised}
	c.fillPage(&page)
	c.send(from, page)
}

func (c *Claimer) fillPage(page *peermessenger.RecordPage) {
	room := pageRoom{records: c.opts.PageRecords, bytes: c.opts.PageBytes}
	cursor := page.From
	for s := Shard(cursor.Shard); s < ShardCount; s++ {
		if !shardMask(page.Shards).has(s) {
			continue
		}
		if cursor.Shard != uint8(s) {
			cursor = peermessenger.ShardCursor{Shard: uint8(s)}
		}
		if cursor.After == "" {
			page.States = append(page.States, c.stateOf(s))
		}
		for _, id := range c.records.idsAfter(s, cursor.After) {
			r := c.shorten(c.records.get(id), c.opts.SmallEnding)
			if !room.take(r) {
				page.Next = cursor
				return
			}
			page.Records = append(page.Records, *r)
			cursor.After = id
		}
	}
	page.Last = true
}

func (c *Claimer) stateOf(s Shard) peermessenger.ShardState {
	state := &c.shards[s]
	return peermessenger.ShardState{Shard: uint8(s), Whole: state.whole, LostBefore: state.lostBefore}
}

// shorten returns the record, without its ending if that is above a size.
func (c *Claimer) shorten(r *peermessenger.ClaimRecord, size identifier.Bytes) *peermessenger.ClaimRecord {
	if endingSize(r) > size {
		return withoutEnding(r)
	}
	return r
}

// pageRoom is the room left on a page.
type pageRoom struct {
	records int
	bytes   identifier.Bytes
	started bool
}

// take takes the room of a record. The first record always finds room.
func (p *pageRoom) take(r *peermessenger.ClaimRecord) bool {
	size := recordSize(r)
	if p.started && (p.records < 1 || p.bytes < size) {
		return false
	}
	p.started = true
	p.records--
	p.bytes -= size
	return true
}

func (c *Claimer) recordPage(from identifier.Member, m peermessenger.RecordPage) {
	c.promiseTo(from, m.Current)
	f := c.fetches[from]
	if f == nil || m.Epoch != f.request.Epoch || m.Shards != f.request.Shards || m.From != f.request.From {
		return
	}
	if c.overflowing() {
		return // the page is asked for again
	}
	for i := range m.Records {
		c.merge(&m.Records[i])
	}
	f.states = append(f.states, m.States...)
	if !m.Last {
		f.request.From = m.Next
		f.tries = 0
		c.sendFetch(from, f)
		return
	}
	delete(c.fetches, from)
	c.noteReplies(from, f)
	c.advance()
}

func (c *Claimer) noteReplies(from identifier.Member, f *fetch) {
	for _, told := range f.states {
		if told.Shard >= ShardCount {
			continue
		}
		state := &c.shards[told.Shard]
		if state.replies == nil {
			state.replies = map[identifier.Member]shardReply{}
		}
		state.replies[from] = shardReply{promised: f.request.Epoch, whole: told.Whole}
		state.lostBefore = max(state.lostBefore, told.LostBefore)
	}
}
