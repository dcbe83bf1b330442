package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const letRun = profileparser.LetRun

// cancelRequest asks for the end of a job.
type cancelRequest struct {
	team       identifier.Team
	submission identifier.SubmissionID
	hops       uint8
}

func cancelOf(e CancelAsked) cancelRequest {
	return cancelRequest{team: e.Team, submission: e.Submission}
}

// cancel ends a running job at its home.
func (m *Machine) cancel(now time.Time, r requester, c cancelRequest) {
	home, denial := m.home(c.submission, time.Time{})
	if denial != nil {
		m.replyEnding(r, denial)
		return
	}
	if home != m.opts.Self {
		m.forwardTo(now, r, home, c.hops, peermessenger.CancelJob{Submission: c.submission, Team: c.team, Hops: c.hops + 1})
		return
	}
	j, ok := m.jobs[c.submission]
	if !ok || j.job.Team != c.team {
		m.replyKnown(r, c.team, c.submission)
		return
	}
	m.addWaiter(r, j, time.Time{}, true)
	if !j.admitted {
		j.cancelled = true // ended once the claim is settled
		return
	}
	m.cancelJob(now, j)
}

func (m *Machine) cancelJob(now time.Time, j *runningJob) {
	if j.started() {
		m.fail(now, j, declarer.Cancelled, "the job was cancelled while it ran")
		return
	}
	m.end(now, j, declarer.Refused{Cause: declarer.CancelledInQueue, Detail: "the job was cancelled before any task started"})
}

// replyKnown answers with what is known of a submission that does not run here.
func (m *Machine) replyKnown(r requester, team identifier.Team, id identifier.SubmissionID) {
	kept, ok := m.claims.kept(id)
	if !ok || kept.team != team {
		m.reply(r, declarer.Status{})
		return
	}
	m.replyEnding(r, kept.ending)
}
