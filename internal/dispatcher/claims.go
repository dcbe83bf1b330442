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

// nextHop returns the next entry VM on the route to the home of a submission (see
// package claimer). When there is none, it returns the ending with which the request
// is denied.
func (m *Machine) nextHop(id identifier.SubmissionID, createdAt time.Time) (identifier.Member, declarer.Ending) {
	s, err := claimer.ParseSubmission(id, createdAt)
	if err != nil {
		return identifier.Member{}, invalidSubmission(err)
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
		return m.peerInDomain(domain, id)
	}
	member, ok := m.claimer.Route(id)
	if !ok {
		return identifier.Member{}, homeUnreachable("this failure domain has no roster yet")
	}
	return member, nil
}

func invalidSubmission(err error) declarer.Ending {
	var submissionErr *claimer.SubmissionError
	if !errors.As(err, &submissionErr) {
		return declarer.Refused{Cause: declarer.BadRequest, Detail: err.Error()}
	}
	return declarer.Refused{Cause: declarer.BadRequest, Detail: submissionErr.Field + ": " + submissionErr.Detail}
}

// peerInDomain returns a linked peer in another failure domain. It chooses by
// rendezvous hashing: a submission keeps its peer while the links don't change.
func (m *Machine) peerInDomain(domain identifier.FailureDomain, id identifier.SubmissionID) (identifier.Member, declarer.Ending) {
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

// requestClaim asks the claimer for the right to run a job. The answer comes at
// once or in a later step.
func (m *Machine) requestClaim(now time.Time, j *activeJob) {
	if m.opts.defects.skipClaim {
		j.claimed = true
		m.admitJob(now, j)
		return
	}
	m.stepClaimer(now, claimer.ClaimRequested{
		Submission: j.job.Submission,
		Digest:     j.digest,
		Team:       j.job.Team,
		CreatedAt:  j.job.CreatedAt,
	})
}

// stepClaimer passes an event to the claimer and carries out its effects.
func (m *Machine) stepClaimer(now time.Time, e claimer.Event) {
	for _, effect := range m.claimer.Step(now, e) {
		switch effect := effect.(type) {
		case claimer.Send:
			m.emit(Send{To: effect.To, Message: effect.Message})
		case claimer.ClaimGranted:
			m.handleClaimGranted(now, effect)
		case claimer.ClaimAlreadyRunning:
			// The job runs here and has its waiters already.
		case claimer.ClaimAnswered:
			m.handleClaimAnswered(now, effect)
		case claimer.ClaimForwarded:
			m.handleClaimForwarded(now, effect)
		case claimer.RecordsCaughtUp:
			m.emit(RecordsCaughtUp{Epoch: effect.Epoch})
		case claimer.LaterEpochSeen:
			m.emit(LaterEpochSeen{From: effect.From, Epoch: effect.Epoch})
		case claimer.Drained:
			m.recordsHandedOver = true
		}
	}
}

// jobAwaitingClaim returns the job that waits for its claim, or nil.
func (m *Machine) jobAwaitingClaim(id identifier.SubmissionID, digest identifier.Digest) *activeJob {
	j, ok := m.jobs[id]
	if !ok || j.claimed || j.digest != digest {
		return nil
	}
	return j
}

func (m *Machine) handleClaimGranted(now time.Time, e claimer.ClaimGranted) {
	j := m.jobAwaitingClaim(e.Submission, e.Digest)
	if j == nil {
		// No one waits for the job any more, and nothing of it was started.
		m.stepClaimer(now, claimer.JobEnded{Submission: e.Submission, Ending: declarer.Refused{Cause: declarer.ShuttingDown}})
		return
	}
	j.claimed = true
	m.admitJob(now, j)
}

func (m *Machine) handleClaimAnswered(now time.Time, e claimer.ClaimAnswered) {
	j := m.jobAwaitingClaim(e.Submission, e.Digest)
	if j == nil {
		return
	}
	delete(m.jobs, e.Submission)
	ending := reportableEnding(e.Ending)
	m.countEnding(ending)
	if _, ok := ending.(declarer.Unverifiable); ok {
		m.reportEndedJob(now, j, ending)
	}
	for _, w := range j.waiters {
		m.replyEnding(w.requester, ending)
	}
}

// reportableEnding returns the ending to report for a recorded one. A job whose
// entry VM has terminated is recorded as failed, but reported as unverifiable: it
// may have completed, and its caller may have been told so, before that.
func reportableEnding(ending declarer.Ending) declarer.Ending {
	failed, ok := ending.(declarer.Failed)
	if !ok || failed.Cause != declarer.RunnerLost {
		return ending
	}
	return declarer.Unverifiable{
		Cause:  declarer.VMLost,
		Detail: failed.Detail + "; what became of the job is not known, and it will not be started again",
	}
}

// handleClaimForwarded forwards the waiting requests to the entry VM that knows
// the job.
func (m *Machine) handleClaimForwarded(now time.Time, e claimer.ClaimForwarded) {
	j := m.jobAwaitingClaim(e.Submission, e.Digest)
	if j == nil {
		return
	}
	delete(m.jobs, e.Submission)
	for _, w := range j.waiters {
		m.forwardTo(now, w.requester, e.To, j.hops, peermessenger.SubmitJob{Job: j.job, Wait: w.forEnding, Hops: j.hops + 1})
	}
}

// recordedEnding returns the ending in this entry VM's record of a submission.
func (m *Machine) recordedEnding(team identifier.Team, id identifier.SubmissionID) (declarer.Ending, bool) {
	record, ok := m.claimer.Find(id)
	if !ok || record.Team != team {
		return nil, false
	}
	switch {
	case record.Complete != nil:
		return *record.Complete, true
	case record.Failed != nil:
		return reportableEnding(*record.Failed), true
	default:
		return nil, false
	}
}

// recordedRunner returns the runner in this entry VM's record of a submission, and
// whether it is a linked peer. The job ran there, unless a later home has become
// the runner of the record.
func (m *Machine) recordedRunner(id identifier.SubmissionID) (identifier.Member, bool) {
	record, ok := m.claimer.Find(id)
	if !ok {
		return identifier.Member{}, false
	}
	_, up := m.peers[record.Runner]
	return record.Runner, up
}
