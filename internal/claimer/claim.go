package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// pending is a claim that the witness has not answered yet.
type pending struct {
	ask    *ask
	record *peermessenger.ClaimRecord
	probe  bool // the table is full; the claim will be refused
	sentAt time.Time
}

func newRecord(a *ask) *peermessenger.ClaimRecord {
	return &peermessenger.ClaimRecord{Submission: a.id, Digest: a.digest, Team: a.team, CreatedAt: a.createdAt}
}

// claim records a claim of this VM, at the witness first if there is one.
func (c *Claimer) claim(a *ask, r *peermessenger.ClaimRecord) {
	c.serial++
	r.Epoch, r.Runner, r.Serial = c.roster.Epoch, c.opts.Self, c.serial
	full := c.full()
	if c.pair(a.shard).solo() {
		if full {
			c.deny(a, c.noRoom())
			return
		}
		c.grant(a, r)
		return
	}
	delete(c.waiting, a.id)
	p := &pending{ask: a, record: r, probe: full}
	c.pending[a.id] = p
	c.sendClaim(p)
}

func (c *Claimer) sendClaim(p *pending) {
	p.sentAt = c.now
	m := peermessenger.RecordClaim{Epoch: p.record.Epoch, Record: *p.record, Probe: p.probe}
	c.send(c.pair(p.ask.shard).Witness, m)
}

func (c *Claimer) resendClaims() {
	for _, id := range sortedIDs(c.pending) {
		if p := c.pending[id]; c.now.Sub(p.sentAt) >= c.opts.Resend {
			c.sendClaim(p)
		}
	}
}

// grant keeps a claim and answers its ask.
func (c *Claimer) grant(a *ask, r *peermessenger.ClaimRecord) {
	c.records.put(r)
	if r.Kind != peermessenger.NotEnded {
		c.deny(a, endingOf(r))
		return
	}
	c.running[a.id] = struct{}{}
	c.answer(a, ClaimGranted{Submission: a.id, Digest: a.digest})
}

// recordClaim is the duty of the witness.
func (c *Claimer) recordClaim(from identifier.Member, m peermessenger.RecordClaim) {
	claim := peermessenger.ClaimRef{Submission: m.Record.Submission, Serial: m.Record.Serial}
	refuse := func(cause peermessenger.WitnessRefusal) {
		c.send(from, peermessenger.ClaimNotRecorded{Epoch: m.Epoch, Claim: claim, Cause: cause, Current: c.promised})
	}
	if m.Epoch < c.promised && !c.opts.defects.witnessIgnoresEpoch {
		refuse(peermessenger.EpochClosed)
		return
	}
	pairs, ok := c.pairs[m.Epoch]
	if !ok || pairs[shardOf(claim.Submission)] != (Pair{Home: from, Witness: c.opts.Self}) {
		return // this VM will learn of the epoch; the home asks again
	}
	known := c.records.get(claim.Submission)
	switch {
	case c.expired(m.Record.CreatedAt):
		refuse(peermessenger.ClaimExpired)
	case m.Probe || known == nil && c.full():
		refuse(peermessenger.TableFull)
	case known != nil && supersedes(known, &m.Record):
		return // the home has claimed the id anew since
	default:
		c.merge(&m.Record)
		c.send(from, peermessenger.ClaimRecorded{Epoch: m.Epoch, Claim: claim})
	}
}

func (c *Claimer) claimRecorded(from identifier.Member, m peermessenger.ClaimRecorded) {
	p := c.answered(from, m.Epoch, m.Claim)
	if p == nil {
		return
	}
	if r := c.records.get(p.ask.id); p.record.Kind == peermessenger.NotEnded && r != nil {
		c.waiting[p.ask.id] = p.ask
		delete(c.pending, p.ask.id)
		c.decide(p.ask)
		return
	}
	if c.expired(p.record.CreatedAt) {
		c.deny(p.ask, recordExpired())
		return
	}
	c.grant(p.ask, p.record)
}

func (c *Claimer) claimNotRecorded(from identifier.Member, m peermessenger.ClaimNotRecorded) {
	p := c.answered(from, m.Epoch, m.Claim)
	if p == nil {
		return
	}
	switch m.Cause {
	case peermessenger.EpochClosed:
		c.promiseTo(from, m.Current)
	case peermessenger.TableFull:
		c.deny(p.ask, c.noRoom())
	case peermessenger.ClaimExpired:
		c.deny(p.ask, recordExpired())
	}
}

// answered returns the pending claim that a witness has answered, or nil when
// the answer is late or the epoch is closed.
func (c *Claimer) answered(from identifier.Member, epoch identifier.Epoch, claim peermessenger.ClaimRef) *pending {
	p, ok := c.pending[claim.Submission]
	if !ok || p.record.Serial != claim.Serial || p.record.Epoch != epoch {
		return nil
	}
	if !c.acting() && !c.opts.defects.homeIgnoresEpoch {
		return nil
	}
	if pairs, ok := c.pairs[epoch]; !ok || pairs[p.ask.shard].Witness != from {
		return nil
	}
	return p
}

func (c *Claimer) jobEnded(event JobEnded) {
	delete(c.running, event.Submission)
	r := c.records.get(event.Submission)
	if r == nil || r.Runner != c.opts.Self || r.Kind != peermessenger.NotEnded {
		c.advanceDrain()
		return
	}
	ended := *r
	switch ending := event.Ending.(type) {
	case declarer.Complete:
		ended.Kind, ended.Complete = peermessenger.EndedComplete, &ending
	case declarer.Failed:
		ended.Kind, ended.Failed = peermessenger.EndedFailed, &ending
	default:
		c.records.drop(r.Submission)
		c.advanceDrain()
		return
	}
	c.records.put(&ended)
	c.handOver(&ended)
	c.advanceDrain()
}

// full reports whether new claims are refused for lack of room.
func (c *Claimer) full() bool {
	return c.records.count >= c.opts.MaxRecords
}

func (c *Claimer) noRoom() declarer.Ending {
	return declarer.Refused{
		Cause:      declarer.NoCapacity,
		Detail:     "the table of claims is full",
		RetryAfter: c.opts.RetryAfter,
	}
}
