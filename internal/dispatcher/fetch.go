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

func fetchOf(e FetchAsked) fetchRequest {
	return fetchRequest{team: e.Team, submission: e.Submission, wait: e.Wait}
}

// fetch answers with the status of a submission, or waits for its ending.
func (m *Machine) fetch(now time.Time, r requester, f fetchRequest) {
	if j, ok := m.jobs[f.submission]; ok && j.job.Team == f.team {
		m.attach(now, r, f, j)
		return
	}
	if ending, ok := m.kept(f.team, f.submission); ok {
		m.replyEnding(r, ending)
		return
	}
	home, denial := m.home(f.submission, now)
	if denial != nil {
		m.replyEnding(r, denial)
		return
	}
	if home != m.opts.Self {
		m.forwardTo(now, r, home, f.hops, peermessenger.AttachJob{Submission: f.submission, Team: f.team, Wait: f.wait, Hops: f.hops + 1})
		return
	}
	m.askRunner(now, r, f.team, f.submission, f.hops, peermessenger.AttachJob{Submission: f.submission, Team: f.team, Wait: f.wait, Hops: f.hops + 1})
}

// attach answers with the status of a running job, or waits for its ending.
func (m *Machine) attach(now time.Time, r requester, f fetchRequest, j *runningJob) {
	if f.wait <= 0 {
		m.reply(r, j.status())
		return
	}
	m.addWaiter(r, j, now.Add(f.wait), true)
	m.waits = append(m.waits, f.submission)
}

// askRunner answers, at the home of a submission, for one that does not run
// there: the request goes on to the entry VM that runs or ran it.
func (m *Machine) askRunner(now time.Time, r requester, team identifier.Team, id identifier.SubmissionID, hops uint8, message peermessenger.Message) {
	record, ok := m.claimer.Find(id)
	if !ok || record.Team != team {
		m.reply(r, declarer.Status{})
		return
	}
	if ending, ok := m.kept(team, id); ok {
		m.replyEnding(r, ending)
		return
	}
	if runner, up := m.runner(id); up {
		m.forwardTo(now, r, runner, hops, message)
		return
	}
	m.replyEnding(r, answerLost(record))
}

// answerLost is the ending of a submission whose entry VM can't be asked.
func answerLost(record peermessenger.ClaimRecord) declarer.Ending {
	if record.Kind == peermessenger.NotEnded {
		return homeUnreachable("the entry VM that runs the job can't be asked")
	}
	return declarer.Unverifiable{Cause: declarer.AnswerLost, Detail: "the job ended, and its answer went with its entry VM"}
}
