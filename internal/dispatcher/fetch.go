package dispatcher

import (
	"time"

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
	home, denial := m.home(f.submission, time.Time{})
	if denial != nil {
		m.replyEnding(r, denial)
		return
	}
	if home != m.opts.Self {
		m.forwardTo(now, r, home, f.hops, peermessenger.AttachJob{Submission: f.submission, Team: f.team, Wait: f.wait, Hops: f.hops + 1})
		return
	}
	j, ok := m.jobs[f.submission]
	if !ok || j.job.Team != f.team {
		m.replyKnown(r, f.team, f.submission)
		return
	}
	if f.wait <= 0 {
		m.reply(r, j.status())
		return
	}
	m.addWaiter(r, j, now.Add(f.wait), true)
	m.waits = append(m.waits, f.submission)
}
