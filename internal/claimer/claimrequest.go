package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Margins, in multiples of the clock bound.
const (
	// futureMargin: an id created more than this ahead of the local clock can't
	// have been accepted by any VM, since a VM accepts ids at most one bound
	// ahead of its clock, and two clocks differ by at most two bounds.
	futureMargin = 3
	// lossMargin: an id that was claimed before a loss was created at most this
	// much after the local time at which the loss is noted, since a VM accepts
	// ids at most one bound ahead of its clock, and two clocks differ by at most
	// two bounds.
	lossMargin = 3
	// recordMargin: a record is kept for this much longer than the local clock
	// accepts its id. That is longer than any clock accepts it, since two clocks
	// differ by at most two bounds.
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
		c.answerWithEnding(req, declarer.Refused{Cause: declarer.BadRequest, Detail: err.Error()})
		return
	}
	if earlier := c.undecided(req.id); earlier != nil {
		if !c.sameDigestAndTeam(earlier, req.digest, req.team) {
			c.answerWithEnding(req, bodyMismatch())
		}
		return
	}
	if len(c.waiting)+len(c.pending) >= c.opts.MaxRequests {
		c.answerWithEnding(req, c.retryLater("too many submissions wait to be claimed"))
		return
	}
	c.waiting[req.id] = req
	c.decide(req)
}

// sameDigestAndTeam reports whether a request has the given digest and team, and
// so is for the same work.
func (c *Claimer) sameDigestAndTeam(req *claimRequest, digest identifier.Digest, team identifier.Team) bool {
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
		return c.retryLater("the id is ahead of this VM's clock")
	}
	return nil
}

func (c *Claimer) expired(createdAt peermessenger.UnixMillis) bool {
	return createdAt < c.nowPlus(-c.opts.Retention)
}

// decide answers a request, or leaves it waiting.
func (c *Claimer) decide(req *claimRequest) {
	if ending := c.checkAge(req); ending != nil {
		c.answerWithEnding(req, ending)
		return
	}
	r := c.records.get(req.id)
	if r != nil && r.Runner == c.opts.Self {
		c.answerOwn(req, r)
		return
	}
	if !c.hasLatestRoster() {
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
		c.answerWithEnding(req, recordsLost())
	default:
		c.claim(req, newRecord(req))
	}
}

// answerOwn answers a request for an id whose record has this VM as the runner:
// the job was granted here, or this VM has claimed the ending of a job that ran
// elsewhere.
func (c *Claimer) answerOwn(req *claimRequest, r *peermessenger.ClaimRecord) {
	switch {
	case !c.sameDigestAndTeam(req, r.Digest, r.Team):
		c.answerWithEnding(req, bodyMismatch())
	case r.EndingKind == peermessenger.NotEnded:
		c.answer(req, ClaimAlreadyRunning{Submission: req.id, Digest: req.digest})
	default:
		c.answerKeptEnding(req, r)
	}
}

// decideRecorded decides, on the home, a request for an id whose record has
// another runner.
func (c *Claimer) decideRecorded(req *claimRequest, r *peermessenger.ClaimRecord) {
	switch {
	case !c.sameDigestAndTeam(req, r.Digest, r.Team):
		c.answerWithEnding(req, bodyMismatch())
	case endingOf(r) != nil && c.opts.defects.unconfirmedEnding:
		c.answerKeptEnding(req, r)
	case endingOf(r) != nil:
		kept := *r
		c.claim(req, &kept) // the witness confirms that no later home has decided otherwise
	case !c.hasTerminated(r.Runner):
		c.queryRunner(req, r)
	case r.EndingKind != peermessenger.NotEnded:
		c.answerKeptEnding(req, r)
	default:
		failed := newRecord(req)
		failed.EndingKind = peermessenger.EndedFailed
		failed.Failed = &declarer.Failed{Cause: declarer.RunnerLost, Detail: "the entry VM that ran the job is gone"}
		c.claim(req, failed)
	}
}

func (c *Claimer) answerKeptEnding(req *claimRequest, r *peermessenger.ClaimRecord) {
	ending := endingOf(r)
	if ending == nil {
		ending = declarer.Unverifiable{Cause: declarer.AnswerLost, Detail: "the job ran; its answer is not kept"}
	}
	c.answerWithEnding(req, ending)
}

func (c *Claimer) answerWithEnding(req *claimRequest, ending declarer.Ending) {
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
			c.answerWithEnding(req, c.retryLater("the VMs that hold the claims of this id don't answer"))
		}
	}
	for _, id := range sortedIDs(c.pending) {
		if req := c.pending[id].request; c.now.Sub(req.since) >= c.opts.ClaimTimeout {
			c.answerWithEnding(req, c.retryLater("the witness of this id does not answer"))
		}
	}
}

// retryLater returns the ending for a request that can't be decided now: it is
// unverifiable, and the caller may try again after RetryAfter. The cause is
// always homeUnreachable; the detail gives the actual reason.
func (c *Claimer) retryLater(detail string) declarer.Ending {
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
