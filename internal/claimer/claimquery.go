package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// claimQuery asks the runner of a record whether it knows the claim and how the
// job ended.
type claimQuery struct {
	to     identifier.Member
	claim  peermessenger.ClaimRef
	sentAt time.Time
}

func (c *Claimer) queryRunner(req *claimRequest, r *peermessenger.ClaimRecord) {
	claim := peermessenger.ClaimRef{Submission: req.id, Serial: r.Serial}
	if q, ok := c.queries[req.id]; ok && q.to == r.Runner && q.claim == claim {
		return
	}
	q := &claimQuery{to: r.Runner, claim: claim}
	c.queries[req.id] = q
	c.sendQuery(q)
}

func (c *Claimer) sendQuery(q *claimQuery) {
	q.sentAt = c.now
	c.send(q.to, peermessenger.QueryClaim{Epoch: c.roster.Epoch, Claim: q.claim})
}

func (c *Claimer) resendQueries() {
	for _, id := range sortedIDs(c.queries) {
		q := c.queries[id]
		if _, ok := c.waiting[id]; !ok {
			delete(c.queries, id)
		} else if c.now.Sub(q.sentAt) >= c.opts.ResendInterval {
			c.sendQuery(q)
		}
	}
}

// handleQueryClaim runs on the runner. By answering that a claim is not known,
// the runner commits itself never to start the job under it. The promise
// of the sender's epoch makes this hold also for claims that the witness has
// not answered yet.
func (c *Claimer) handleQueryClaim(sender identifier.Member, m peermessenger.QueryClaim) {
	if !c.opts.defects.answerQueryWithoutPromise {
		c.learnEpoch(sender, m.Epoch)
	}
	reply := peermessenger.ClaimState{Claim: m.Claim}
	if r := c.records.get(m.Claim.Submission); r != nil && r.Runner == c.opts.Self {
		reply.Known = true
		reply.Record = r
	}
	c.send(sender, reply)
}

func (c *Claimer) handleClaimState(sender identifier.Member, m peermessenger.ClaimState) {
	id := m.Claim.Submission
	q, ok := c.queries[id]
	if !ok || q.to != sender || q.claim != m.Claim {
		return
	}
	delete(c.queries, id)
	if m.Known && m.Record != nil {
		c.applyRunnerRecord(m.Record, sender)
		return
	}
	if r := c.records.get(id); r != nil && r.Runner == sender && r.Serial <= m.Claim.Serial && r.EndingKind == peermessenger.NotEnded {
		c.records.drop(id)
	}
	if req, ok := c.waiting[id]; ok {
		c.decide(req)
	}
}

func (c *Claimer) applyRunnerRecord(r *peermessenger.ClaimRecord, runner identifier.Member) {
	c.merge(r)
	req, ok := c.waiting[r.Submission]
	if !ok {
		return
	}
	if r.EndingKind == peermessenger.NotEnded {
		c.answer(req, ClaimForwarded{Submission: req.id, Digest: req.digest, To: runner})
		return
	}
	c.decide(req)
}
