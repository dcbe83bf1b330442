package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// pendingClaim is a claim that the witness has not answered yet.
type pendingClaim struct {
	request *claimRequest
	record  *peermessenger.ClaimRecord
	probe   bool // set when this home's table is full; see claim
	sentAt  time.Time
}

func newRecord(req *claimRequest) *peermessenger.ClaimRecord {
	return &peermessenger.ClaimRecord{Submission: req.id, Digest: req.digest, Team: req.team, CreatedAt: req.createdAt}
}

// claim makes a claim with this VM as the runner. It is sent to the witness
// first, if there is one. When the table of this VM is full, the claim is only a
// probe, which the witness refuses: the home refuses the request only after the
// witness has shown that the epoch is still open, since a later pair may have
// started the job otherwise.
func (c *Claimer) claim(req *claimRequest, r *peermessenger.ClaimRecord) {
	c.serial++
	r.Epoch, r.Runner, r.Serial = c.roster.Epoch, c.opts.Self, c.serial
	full := c.tableFull()
	if c.pair(req.shard).lacksWitness() {
		if full {
			c.answerWithEnding(req, c.noCapacity())
			return
		}
		c.completeClaim(req, r)
		return
	}
	delete(c.waiting, req.id)
	p := &pendingClaim{request: req, record: r, probe: full}
	c.pending[req.id] = p
	c.sendClaim(p)
}

func (c *Claimer) sendClaim(p *pendingClaim) {
	p.sentAt = c.now
	m := peermessenger.RecordClaim{Epoch: p.record.Epoch, Record: *p.record, Probe: p.probe}
	c.send(c.pair(p.request.shard).Witness, m)
}

func (c *Claimer) resendClaims() {
	for _, id := range sortedIDs(c.pending) {
		if p := c.pending[id]; c.now.Sub(p.sentAt) >= c.opts.ResendInterval {
			c.sendClaim(p)
		}
	}
}

// completeClaim stores the record of a claim that the witness has recorded, if
// there is one, and answers its request: with the ending in the record, or by
// granting the job if the record has none.
func (c *Claimer) completeClaim(req *claimRequest, r *peermessenger.ClaimRecord) {
	c.records.put(r)
	if r.EndingKind != peermessenger.NotEnded {
		c.answerWithEnding(req, endingOf(r))
		return
	}
	c.running[req.id] = struct{}{}
	c.answer(req, ClaimGranted{Submission: req.id, Digest: req.digest})
}

// handleRecordClaim runs on the witness: it records the claim of the home or
// refuses it, also when its own table is full.
func (c *Claimer) handleRecordClaim(sender identifier.Member, m peermessenger.RecordClaim) {
	claim := peermessenger.ClaimRef{Submission: m.Record.Submission, Serial: m.Record.Serial}
	refuse := func(cause peermessenger.WitnessRefusal) {
		c.send(sender, peermessenger.ClaimNotRecorded{Epoch: m.Epoch, Claim: claim, Cause: cause, Promised: c.promised})
	}
	if m.Epoch < c.promised && !c.opts.defects.witnessIgnoresEpoch {
		refuse(peermessenger.EpochClosed)
		return
	}
	pairs, ok := c.pairs[m.Epoch]
	if !ok || pairs[shardOf(claim.Submission)] != (Pair{Home: sender, Witness: c.opts.Self}) {
		return // this VM has yet to learn of the epoch; the home resends the claim
	}
	known := c.records.get(claim.Submission)
	switch {
	case c.expired(m.Record.CreatedAt):
		refuse(peermessenger.ClaimExpired)
	case m.Probe || known == nil && c.tableFull():
		refuse(peermessenger.TableFull)
	case known != nil && supersedes(known, &m.Record):
		return // the home has made a later claim for this id
	default:
		c.merge(&m.Record)
		c.send(sender, peermessenger.ClaimRecorded{Epoch: m.Epoch, Claim: claim})
	}
}

func (c *Claimer) handleClaimRecorded(sender identifier.Member, m peermessenger.ClaimRecorded) {
	p := c.answeredClaim(sender, m.Epoch, m.Claim)
	if p == nil {
		return
	}
	if r := c.records.get(p.request.id); p.record.EndingKind == peermessenger.NotEnded && r != nil {
		c.waiting[p.request.id] = p.request
		delete(c.pending, p.request.id)
		c.decide(p.request)
		return
	}
	if c.expired(p.record.CreatedAt) {
		c.answerWithEnding(p.request, recordExpired())
		return
	}
	c.completeClaim(p.request, p.record)
}

func (c *Claimer) handleClaimNotRecorded(sender identifier.Member, m peermessenger.ClaimNotRecorded) {
	p := c.answeredClaim(sender, m.Epoch, m.Claim)
	if p == nil {
		return
	}
	switch m.Cause {
	case peermessenger.EpochClosed:
		c.learnEpoch(sender, m.Promised)
	case peermessenger.TableFull:
		c.answerWithEnding(p.request, c.noCapacity())
	case peermessenger.ClaimExpired:
		c.answerWithEnding(p.request, recordExpired())
	}
}

// answeredClaim returns the pending claim that a witness has answered, or nil
// when the answer is late or the epoch of the claim is closed.
func (c *Claimer) answeredClaim(sender identifier.Member, epoch identifier.Epoch, claim peermessenger.ClaimRef) *pendingClaim {
	p, ok := c.pending[claim.Submission]
	if !ok || p.record.Serial != claim.Serial || p.record.Epoch != epoch {
		return nil
	}
	if !c.hasLatestRoster() && !c.opts.defects.homeIgnoresEpoch {
		return nil
	}
	if pairs, ok := c.pairs[epoch]; !ok || pairs[p.request.shard].Witness != sender {
		return nil
	}
	return p
}

func (c *Claimer) recordEnding(event JobEnded) {
	delete(c.running, event.Submission)
	r := c.records.get(event.Submission)
	if r == nil || r.Runner != c.opts.Self || r.EndingKind != peermessenger.NotEnded {
		c.advanceDrain()
		return
	}
	ended := *r
	switch ending := event.Ending.(type) {
	case declarer.Complete:
		ended.EndingKind, ended.Complete = peermessenger.EndedComplete, &ending
	case declarer.Failed:
		ended.EndingKind, ended.Failed = peermessenger.EndedFailed, &ending
	default:
		c.records.drop(r.Submission)
		c.advanceDrain()
		return
	}
	c.records.put(&ended)
	c.handOverEnding(&ended)
	c.advanceDrain()
}

// tableFull reports whether the table of this VM, as the home or the witness, is
// too full for new claims.
func (c *Claimer) tableFull() bool {
	return c.records.count >= c.opts.MaxRecords
}

func (c *Claimer) noCapacity() declarer.Ending {
	return declarer.Refused{
		Cause:      declarer.NoCapacity,
		Detail:     "the table of claims is full",
		RetryAfter: c.opts.RetryAfter,
	}
}
