package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// query asks the runner of a claim what became of it.
type query struct {
	to     identifier.Member
	claim  peermessenger.ClaimRef
	sentAt time.Time
}

func (c *Claimer) query(a *ask, r *peermessenger.ClaimRecord) {
	claim := peermessenger.ClaimRef{Submission: a.id, Serial: r.Serial}
	if q, ok := c.queries[a.id]; ok && q.to == r.Runner && q.claim == claim {
		return
	}
	q := &query{to: r.Runner, claim: claim}
	c.queries[a.id] = q
	c.sendQuery(q)
}

func (c *Claimer) sendQuery(q *query) {
	q.sentAt = c.now
	c.send(q.to, peermessenger.QueryClaim{Epoch: c.roster.Epoch, Claim: q.claim})
}

func (c *Claimer) resendQueries() {
	for _, id := range sortedIDs(c.queries) {
		q := c.queries[id]
		if _, ok := c.waiting[id]; !ok {
			delete(c.queries, id)
		} else if c.now.Sub(q.sentAt) >= c.opts.Resend {
			c.sendQuery(q)
		}
	}
}

// queryClaim is the duty of the runner. Saying that a claim is not known is a
// vow never to start the submission under it; the promise of the asker's epoch
// makes it true for claims that the witness has not answered yet.
func (c *Claimer) queryClaim(from identifier.Member, m peermessenger.QueryClaim) {
	if !c.opts.defects.vowWithoutPromise {
		c.promiseTo(from, m.Epoch)
	}
	reply := peermessenger.ClaimState{Claim: m.Claim}
	if r := c.records.get(m.Claim.Submission); r != nil && r.Runner == c.opts.Self {
		reply.Known = true
		reply.Record = r
	}
	c.send(from, reply)
}

func (c *Claimer) claimState(from identifier.Member, m peermessenger.ClaimState) {
	id := m.Claim.Submission
	q, ok := c.queries[id]
	if !ok || q.to != from || q.claim != m.Claim {
		return
	}
	delete(c.queries, id)
	if m.Known && m.Record != nil {
		c.runnerKnows(m.Record, from)
		return
	}
	if r := c.records.get(id); r != nil && r.Runner == from && r.Serial <= m.Claim.Serial && r.Kind == peermessenger.NotEnded {
		c.records.drop(id)
	}
	if a, ok := c.waiting[id]; ok {
		c.decide(a)
	}
}

func (c *Claimer) runnerKnows(r *peermessenger.ClaimRecord, runner identifier.Member) {
	c.merge(r)
	a, ok := c.waiting[r.Submission]
	if !ok {
		return
	}
	if r.Kind == peermessenger.NotEnded {
		c.answer(a, ClaimForward{Submission: a.id, Digest: a.digest, To: runner})
		return
	}
	c.decide(a)
}
