package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// fetchRequest asks for the status of a submission.
type fetchRequest struct {
	team       identifier.Team
	submission identifier.SubmissionID
	wait       time.Duration
	hops       uint8
}

func newFetchRequest(e FetchRequested) fetchRequest {
	return fetchRequest{team: e.Team, submission: e.Submission, wait: e.Wait}
}

// fetch answers with the status of a submission, or waits for its ending.
func (m *Machine) fetch(now time.Time, r requester, f fetchRequest) {
	if j, ok := m.jobs[f.submission]; ok && j.job.Team == f.team {
		m.fetchActive(now, r, f, j)
		return
	}
	if ending, ok := m.recordedEnding(f.team, f.submission); ok {
		m.replyEnding(r, ending)
		return
	}
	next, denial := m.nextHop(f.submission, now)
	if denial != nil {
		m.replyEnding(r, denial)
		return
	}
	if next != m.opts.Self {
		m.forwardTo(now, r, next, f.hops, peermessenger.AttachJob{Submission: f.submission, Team: f.team, Wait: f.wait, Hops: f.hops + 1})
		return
	}
	m.answerOrForward(now, r, f.team, f.submission, f.hops, peermessenger.AttachJob{Submission: f.submission, Team: f.team, Wait: f.wait, Hops: f.hops + 1})
}

// fetchActive answers with the status of an active job, or waits for its ending.
func (m *Machine) fetchActive(now time.Time, r requester, f fetchRequest, j *activeJob) {
	if f.wait <= 0 {
		m.reply(r, j.status())
		return
	}
	m.addWaiter(r, j, now.Add(f.wait), true)
	m.boundedWaits = append(m.boundedWaits, f.submission)
}

// answerOrForward handles, at the home of a submission, a request for a job that is
// not active there: it answers from the claim record, or else forwards the request
// to the runner of that record.
func (m *Machine) answerOrForward(now time.Time, r requester, team identifier.Team, id identifier.SubmissionID, hops uint8, message peermessenger.Message) {
	record, ok := m.claimer.Find(id)
	if !ok || record.Team != team {
		m.reply(r, declarer.Status{})
		return
	}
	if ending, ok := m.recordedEnding(team, id); ok {
		m.replyEnding(r, ending)
		return
	}
	if runner, up := m.recordedRunner(id); up {
		m.forwardTo(now, r, runner, hops, message)
		return
	}
	m.replyEnding(r, unknownEnding(record))
}

// unknownEnding returns the ending of a submission whose entry VM can't be reached.
func unknownEnding(record peermessenger.ClaimRecord) declarer.Ending {
	if record.EndingKind == peermessenger.NotEnded {
		return homeUnreachable("the entry VM that runs the job can't be asked")
	}
	return declarer.Unverifiable{Cause: declarer.AnswerLost, Detail: "the job ended, and its answer went with its entry VM"}
}
