package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Margins in multiples of the clock bound.
const (
	// futureMargin: an id of true time t has been accepted nowhere as long as a
	// clock shows less than t minus this, since both clocks may be off and ids
	// may be ahead by one bound.
	futureMargin = 3
	// lossMargin: ids that were claimed before a loss that a clock dates at t
	// were made before t plus this.
	lossMargin = 3
	// recordMargin: a record is kept this much longer than any clock accepts
	// its id.
	recordMargin = 3
)

// ask is an ask that is not decided yet.
type ask struct {
	id        identifier.SubmissionID
	shard     Shard
	digest    identifier.Digest
	team      identifier.Team
	createdAt peermessenger.UnixMillis
	since     time.Time
}

func (c *Claimer) asked(event ClaimAsked) {
	s, err := ParseSubmission(event.Submission, event.CreatedAt)
	a := &ask{
		id:        event.Submission,
		shard:     s.Shard,
		digest:    event.Digest,
		team:      event.Team,
		createdAt: peermessenger.UnixMillis(s.CreatedAt.UnixMilli()),
		since:     c.now,
	}
	if err != nil {
		c.deny(a, declarer.Refused{Cause: declarer.BadRequest, Detail: err.Error()})
		return
	}
	if earlier := c.undecided(a.id); earlier != nil {
		if !c.sameBody(earlier, a.digest, a.team) {
			c.deny(a, bodyMismatch())
		}
		return
	}
	if len(c.waiting)+len(c.pending) >= c.opts.MaxAsks {
		c.deny(a, c.unreachable("too many submissions wait to be claimed"))
		return
	}
	c.waiting[a.id] = a
	c.decide(a)
}

// sameBody reports whether an ask is for the work that a digest and a team stand
// for.
func (c *Claimer) sameBody(a *ask, digest identifier.Digest, team identifier.Team) bool {
	return a.digest == digest && a.team == team || c.opts.defects.ignoreBody
}

// undecided returns the ask of an id that is not decided yet, or nil.
func (c *Claimer) undecided(id identifier.SubmissionID) *ask {
	if a, ok := c.waiting[id]; ok {
		return a
	}
	if p, ok := c.pending[id]; ok {
		return p.ask
	}
	return nil
}

// checkAge returns the ending of an ask whose id is too old or too new, or nil.
func (c *Claimer) checkAge(a *ask) declarer.Ending {
	switch {
	case c.expired(a.createdAt):
		return recordExpired()
	case a.createdAt > c.millis(futureMargin*c.opts.ClockBound):
		return declarer.Refused{Cause: declarer.BadRequest, Detail: "createdAt: in the future"}
	case a.createdAt > c.millis(c.opts.ClockBound):
		return c.unreachable("the id is ahead of this VM's clock")
	}
	return nil
}

func (c *Claimer) expired(createdAt peermessenger.UnixMillis) bool {
	return createdAt < c.millis(-c.opts.Retention)
}

// decide answers an ask, or leaves it among the waiting ones.
func (c *Claimer) decide(a *ask) {
	if ending := c.checkAge(a); ending != nil {
		c.deny(a, ending)
		return
	}
	r := c.records.get(a.id)
	if r != nil && r.Runner == c.opts.Self {
		c.answerOwn(a, r)
		return
	}
	if !c.acting() {
		return
	}
	pair := c.pair(a.shard)
	switch {
	case pair.empty():
		return
	case pair.Home != c.opts.Self:
		c.answer(a, ClaimForward{Submission: a.id, Digest: a.digest, To: pair.Home})
	case c.shards[a.shard].whole < c.roster.Epoch:
		return
	case r != nil:
		c.decideRecorded(a, r)
	case a.createdAt <= c.shards[a.shard].lostBefore:
		c.deny(a, recordsLost())
	default:
		c.claim(a, newRecord(a))
	}
}

// answerOwn answers an ask for a job that was granted here.
func (c *Claimer) answerOwn(a *ask, r *peermessenger.ClaimRecord) {
	switch {
	case !c.sameBody(a, r.Digest, r.Team):
		c.deny(a, bodyMismatch())
	case r.Kind == peermessenger.NotEnded:
		c.answer(a, ClaimJoined{Submission: a.id, Digest: a.digest})
	default:
		c.denyKept(a, r)
	}
}

// decideRecorded decides at the home about a job that was granted elsewhere.
func (c *Claimer) decideRecorded(a *ask, r *peermessenger.ClaimRecord) {
	switch {
	case !c.sameBody(a, r.Digest, r.Team):
		c.deny(a, bodyMismatch())
	case endingOf(r) != nil && c.opts.defects.unconfirmedEnding:
		c.denyKept(a, r)
	case endingOf(r) != nil:
		kept := *r
		c.claim(a, &kept) // the witness confirms that no later home has decided otherwise
	case !c.isGone(r.Runner):
		c.query(a, r)
	case r.Kind != peermessenger.NotEnded:
		c.denyKept(a, r)
	default:
		lost := newRecord(a)
		lost.Kind = peermessenger.EndedFailed
		lost.Failed = &declarer.Failed{Cause: declarer.RunnerLost, Detail: "the entry VM that ran the job is gone"}
		c.claim(a, lost)
	}
}

func (c *Claimer) denyKept(a *ask, r *peermessenger.ClaimRecord) {
	ending := endingOf(r)
	if ending == nil {
		ending = declarer.Unverifiable{Cause: declarer.AnswerLost, Detail: "the job ran; its answer is not kept"}
	}
	c.deny(a, ending)
}

func (c *Claimer) deny(a *ask, ending declarer.Ending) {
	c.answer(a, ClaimDenied{Submission: a.id, Digest: a.digest, Ending: ending})
}

// answer ends an ask.
func (c *Claimer) answer(a *ask, e Effect) {
	if c.waiting[a.id] == a {
		delete(c.waiting, a.id)
	}
	if p, ok := c.pending[a.id]; ok && p.ask == a {
		delete(c.pending, a.id)
	}
	c.emit(e)
}

// decideWaiting decides all waiting asks again, after the state has changed.
func (c *Claimer) decideWaiting() {
	for _, id := range sortedIDs(c.waiting) {
		c.decide(c.waiting[id])
	}
}

func (c *Claimer) timeOutAsks() {
	if c.opts.defects.waitForever {
		return
	}
	for _, id := range sortedIDs(c.waiting) {
		if a := c.waiting[id]; c.now.Sub(a.since) >= c.opts.ClaimTimeout {
			c.deny(a, c.unreachable("the VMs that hold the claims of this id don't answer"))
		}
	}
	for _, id := range sortedIDs(c.pending) {
		if a := c.pending[id].ask; c.now.Sub(a.since) >= c.opts.ClaimTimeout {
			c.deny(a, c.unreachable("the witness of this id does not answer"))
		}
	}
}

func (c *Claimer) unreachable(detail string) declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.HomeUnreachable, Detail: detail, RetryAfter: c.opts.RetryAfter}
}

func bodyMismatch() declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.BodyMismatch, Detail: "the id was used with another body"}
}

func recordExpired() declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.RecordExpired, Detail: "the id is older than records are kept"}
}

func recordsLost() declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.RecordsLost, Detail: "the VMs that held the claims of this id are gone"}
}
