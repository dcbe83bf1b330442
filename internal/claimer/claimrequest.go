package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Margins, in multiples of the clock bound.
const (
	// futureMargin: no VM has accepted an id created at true time t while a clock
	// shows less than t minus this margin: both clocks may be off by one bound
	// each, and an id may be ahead by one bound.
	futureMargin = 3
	// lossMargin: ids claimed before a loss that a clock dates at t were created
	// before t plus this margin.
	lossMargin = 3
	// recordMargin: a record is kept for this much longer than any clock accepts
	// its id.
	recordMargin = 3
)

// claimRequest is a request for a claim that is not decided yet.
type claimRequest struct {
	id        identifier.SubmissionID
	shard     Shard
	digest    identifier.Digest
	team      identifier.Team
	createdAt peermessenger.UnixMillis
	since     time.Time
}

func (c *Claimer) requestClaim(event ClaimRequested) {
	s, err := ParseSubmission(event.Submission, event.CreatedAt)
	req := &claimRequest{
		id:        event.Submission,
		shard:     s.Shard,
		digest:    event.Digest,
		team:      event.Team,
		createdAt: peermessenger.UnixMillis(s.CreatedAt.UnixMilli()),
		since:     c.now,
	}
	if err != nil {
		c.answerEnding(req, declarer.Refused{Cause: declarer.BadRequest, Detail: err.Error()})
		return
	}
	if earlier := c.undecided(req.id); earlier != nil {
		if !c.sameBody(earlier, req.digest, req.team) {
			c.answerEnding(req, bodyMismatch())
		}
		return
	}
	if len(c.waiting)+len(c.pending) >= c.opts.MaxRequests {
		c.answerEnding(req, c.homeUnreachable("too many submissions are waiting to be claimed"))
		return
	}
	c.waiting[req.id] = req
	c.decide(req)
}

// sameBody reports whether a request is for the work that a digest and a team
// identify.
func (c *Claimer) sameBody(req *claimRequest, digest identifier.Digest, team identifier.Team) bool {
	return req.digest == digest && req.team == team || c.opts.defects.ignoreBody
}

// undecided returns the undecided request for an id, or nil.
func (c *Claimer) undecided(id identifier.SubmissionID) *claimRequest {
	if req, ok := c.waiting[id]; ok {
		return req
	}
	if p, ok := c.pending[id]; ok {
		return p.request
	}
	return nil
}

// checkAge returns the ending for a request whose id is too old or too far in
// the future, or nil.
func (c *Claimer) checkAge(req *claimRequest) declarer.Ending {
	switch {
	case c.expired(req.createdAt):
		return recordExpired()
	case req.createdAt > c.nowPlus(futureMargin*c.opts.ClockBound):
		return declarer.Refused{Cause: declarer.BadRequest, Detail: "createdAt: in the future"}
	case req.createdAt > c.nowPlus(c.opts.ClockBound):
		return c.homeUnreachable("the id was created later than this VM's clock shows")
	}
	return nil
}

func (c *Claimer) expired(createdAt peermessenger.UnixMillis) bool {
	return createdAt < c.nowPlus(-c.opts.Retention)
}

// decide answers a request, or leaves it waiting.
func (c *Claimer) decide(req *claimRequest) {
	if ending := c.checkAge(req); ending != nil {
		c.answerEnding(req, ending)
		return
	}
	r := c.records.get(req.id)
	if r != nil && r.Runner == c.opts.Self {
		c.answerOwn(req, r)
		return
	}
	if !c.mayAct() {
		return
	}
	pair := c.pair(req.shard)
	switch {
	case pair.empty():
		return
	case pair.Home != c.opts.Self:
		c.answer(req, ClaimForwarded{Submission: req.id, Digest: req.digest, To: pair.Home})
	case c.shards[req.shard].caughtUpEpoch < c.roster.Epoch:
		return
	case r != nil:
		c.decideRecorded(req, r)
	case req.createdAt <= c.shards[req.shard].lostBefore:
		c.answerEnding(req, recordsLost())
	default:
		c.claim(req, newRecord(req))
	}
}

// answerOwn answers a request for a job that was granted here.
func (c *Claimer) answerOwn(req *claimRequest, r *peermessenger.ClaimRecord) {
	switch {
	case !c.sameBody(req, r.Digest, r.Team):
		c.answerEnding(req, bodyMismatch())
	case r.Kind == peermessenger.NotEnded:
		c.answer(req, ClaimAlreadyRunning{Submission: req.id, Digest: req.digest})
	default:
		c.answerKeptEnding(req, r)
	}
}

// decideRecorded decides, on the home, about a job that was granted to another
// VM.
func (c *Claimer) decideRecorded(req *claimRequest, r *peermessenger.ClaimRecord) {
	switch {
	case !c.sameBody(req, r.Digest, r.Team):
		c.answerEnding(req, bodyMismatch())
	case endingOf(r) != nil && c.opts.defects.unconfirmedEnding:
		c.answerKeptEnding(req, r)
	case endingOf(r) != nil:
		kept := *r
		c.claim(req, &kept) // the witness confirms that no later home has decided otherwise
	case !c.hasTerminated(r.Runner):
		c.queryRunner(req, r)
	case r.Kind != peermessenger.NotEnded:
		c.answerKeptEnding(req, r)
	default:
		lost := newRecord(req)
		lost.Kind = peermessenger.EndedFailed
		lost.Failed = &declarer.Failed{Cause: declarer.RunnerLost, Detail: "the entry VM that ran the job is gone"}
		c.claim(req, lost)
	}
}

func (c *Claimer) answerKeptEnding(req *claimRequest, r *peermessenger.ClaimRecord) {
	ending := endingOf(r)
	if ending == nil {
		ending = declarer.Unverifiable{Cause: declarer.AnswerLost, Detail: "the job ran, but its answer is no longer kept"}
	}
	c.answerEnding(req, ending)
}

func (c *Claimer) answerEnding(req *claimRequest, ending declarer.Ending) {
	c.answer(req, ClaimAnswered{Submission: req.id, Digest: req.digest, Ending: ending})
}

// answer removes a request and emits its answer.
func (c *Claimer) answer(req *claimRequest, e Effect) {
	if c.waiting[req.id] == req {
		delete(c.waiting, req.id)
	}
	if p, ok := c.pending[req.id]; ok && p.request == req {
		delete(c.pending, req.id)
	}
	c.emit(e)
}

// decideWaiting decides all waiting requests again after the state has changed.
func (c *Claimer) decideWaiting() {
	for _, id := range sortedIDs(c.waiting) {
		c.decide(c.waiting[id])
	}
}

func (c *Claimer) timeOutRequests() {
	if c.opts.defects.waitForever {
		return
	}
	for _, id := range sortedIDs(c.waiting) {
		if req := c.waiting[id]; c.now.Sub(req.since) >= c.opts.ClaimTimeout {
			c.answerEnding(req, c.homeUnreachable("the VMs that hold the claims of this id don't answer"))
		}
	}
	for _, id := range sortedIDs(c.pending) {
		if req := c.pending[id].request; c.now.Sub(req.since) >= c.opts.ClaimTimeout {
			c.answerEnding(req, c.homeUnreachable("the witness of this id does not answer"))
		}
	}
}

func (c *Claimer) homeUnreachable(detail string) declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.HomeUnreachable, Detail: detail, RetryAfter: c.opts.RetryAfter}
}

func bodyMismatch() declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.BodyMismatch, Detail: "the id was used with another body"}
}

func recordExpired() declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.RecordExpired, Detail: "the id is older than the retention of records"}
}

func recordsLost() declarer.Ending {
	return declarer.Unverifiable{Cause: declarer.RecordsLost, Detail: "the VMs that held the claims of this id have terminated"}
}
