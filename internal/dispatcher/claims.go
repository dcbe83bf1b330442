package dispatcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/claimer"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// home returns the next entry VM on the way to the home of a submission, or
// the ending that the request gets when there is none.
func (m *Machine) home(id identifier.SubmissionID, createdAt time.Time) (identifier.Member, declarer.Ending) {
	s, err := claimer.ParseSubmission(id, createdAt)
	if err != nil {
		return identifier.Member{}, badSubmission(err)
	}
	domain := s.Domain
	if domain == "" {
		domain, _ = claimer.HashDomain(id, m.opts.Domains)
	}
	if !slices.Contains(m.opts.Domains, domain) {
		return identifier.Member{}, declarer.Refused{
			Cause:  declarer.BadRequest,
			Detail: fmt.Sprintf("submissionId: names the unknown failure domain %q", domain),
		}
	}
	if domain != m.opts.Domain {
		return m.peerOf(domain, id)
	}
	member, ok := m.claimer.Route(id)
	if !ok {
		return identifier.Member{}, homeUnreachable("this failure domain has no roster yet")
	}
	return member, nil
}

func badSubmission(err error) declarer.Ending {
	var bad *claimer.SubmissionError
	if !errors.As(err, &bad) {
		return declarer.Refused{Cause: declarer.BadRequest, Detail: err.Error()}
	}
	return declarer.Refused{Cause: declarer.BadRequest, Detail: bad.Field + ": " + bad.Detail}
}

// peerOf returns a linked peer in another failure domain, the same one for a
// submission as long as the links stand.
func (m *Machine) peerOf(domain identifier.FailureDomain, id identifier.SubmissionID) (identifier.Member, declarer.Ending) {
	var best identifier.Member
	var highest uint64
	for member, d := range m.peers {
		if d != domain {
			continue
		}
		h := xxhash.Sum64String(member.String() + "/" + string(id))
		if h > highest || h == highest && strings.Compare(member.String(), best.String()) < 0 {
			best, highest = member, h
		}
	}
	if highest == 0 {
		return identifier.Member{}, homeUnreachable(fmt.Sprintf("no entry VM of failure domain %q can be reached", domain))
	}
	return best, nil
}

// askClaim asks for the right to run a job. Its answer comes at once or in a
// later step.
func (m *Machine) askClaim(now time.Time, j *runningJob) {
	if m.opts.defects.skipClaim {
		j.claimed = true
		m.start(now, j)
		return
	}
	m.claimerStep(now, claimer.ClaimAsked{
		Submission: j.job.Submission,
		Digest:     j.digest,
		Team:       j.job.Team,
		CreatedAt:  j.job.CreatedAt,
	})
}

// claimerStep hands an event to the claimer and carries out what it asks for.
func (m *Machine) claimerStep(now time.Time, e claimer.Event) {
	for _, effect := range m.claimer.Step(now, e) {
		switch effect := effect.(type) {
		case claimer.Send:
			m.emit(Send{To: effect.To, Message: effect.Message})
		case claimer.ClaimGranted:
			m.claimGranted(now, effect)
		case claimer.ClaimJoined:
			// The job runs here, and its waiters are with it already.
		case claimer.ClaimDenied:
			m.claimDenied(now, effect)
		case claimer.ClaimForward:
			m.claimForwarded(now, effect)
		case claimer.RecordsWhole:
			m.emit(RecordsWhole{Epoch: effect.Epoch})
		case claimer.EpochHeard:
			m.emit(EpochHeard{From: effect.From, Epoch: effect.Epoch})
		case claimer.Drained:
			m.handedOver = true
		}
	}
}

// asking returns the job that waits for the answer to its claim, or nil.
func (m *Machine) asking(id identifier.SubmissionID, digest identifier.Digest) *runningJob {
	j, ok := m.jobs[id]
	if !ok || j.claimed || j.digest != digest {
		return nil
	}
	return j
}

func (m *Machine) claimGranted(now time.Time, e claimer.ClaimGranted) {
	j := m.asking(e.Submission, e.Digest)
	if j == nil {
		// No one waits for the job any more, and nothing of it was started.
		m.claimerStep(now, claimer.JobEnded{Submission: e.Submission, Ending: declarer.Refused{Cause: declarer.ShuttingDown}})
		return
	}
	j.claimed = true
	m.start(now, j)
}

func (m *Machine) claimDenied(now time.Time, e claimer.ClaimDenied) {
	j := m.asking(e.Submission, e.Digest)
	if j == nil {
		return
	}
	delete(m.jobs, e.Submission)
	ending := tellable(e.Ending)
	m.count(ending)
	if _, ok := ending.(declarer.Unverifiable); ok {
		m.observe(now, j, ending)
	}
	for _, w := range j.waiters {
		m.replyEnding(w.requester, ending)
	}
}

// tellable turns the ending that the claimer keeps of a job whose entry VM is
// gone into what may be told: the job may have completed, and its caller may
// have been told so, before that VM ended.
func tellable(ending declarer.Ending) declarer.Ending {
	failed, ok := ending.(declarer.Failed)
	if !ok || failed.Cause != declarer.RunnerLost {
		return ending
	}
	return declarer.Unverifiable{
		Cause:  declarer.VMLost,
		Detail: failed.Detail + "; what became of the job is not known, and it will not be started again",
	}
}

// claimForwarded sends those who wait on to the entry VM that knows the job.
func (m *Machine) claimForwarded(now time.Time, e claimer.ClaimForward) {
	j := m.asking(e.Submission, e.Digest)
	if j == nil {
		return
	}
	delete(m.jobs, e.Submission)
	for _, w := range j.waiters {
		m.forwardTo(now, w.requester, e.To, j.hops, peermessenger.SubmitJob{Job: j.job, Wait: w.ending, Hops: j.hops + 1})
	}
}

// kept returns the ending that this entry VM keeps of a submission.
func (m *Machine) kept(team identifier.Team, id identifier.SubmissionID) (declarer.Ending, bool) {
	record, ok := m.claimer.Find(id)
	if !ok || record.Team != team {
		return nil, false
	}
	switch {
	case record.Complete != nil:
		return *record.Complete, true
	case record.Failed != nil:
		return tellable(*record.Failed), true
	default:
		return nil, false
	}
}

// runner returns the linked peer that ran a submission, as far as this entry VM knows.
func (m *Machine) runner(id identifier.SubmissionID) (identifier.Member, bool) {
	record, ok := m.claimer.Find(id)
	if !ok {
		return identifier.Member{}, false
	}
	_, up := m.peers[record.Runner]
	return record.Runner, up
}
