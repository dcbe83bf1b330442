package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const letRun = profileparser.LetRun

// cancelRequest asks to cancel a job.
type cancelRequest struct {
	team       identifier.Team
	submission identifier.SubmissionID
	hops       uint8
}

func newCancelRequest(e CancelRequested) cancelRequest {
	return cancelRequest{team: e.Team, submission: e.Submission}
}

// cancel cancels a job that is active here, or forwards the request towards the
// entry VM that runs it.
func (m *Machine) cancel(now time.Time, r requester, c cancelRequest) {
	if j, ok := m.jobs[c.submission]; ok && j.job.Team == c.team {
		m.addWaiter(r, j, time.Time{}, true)
		m.cancelJob(now, j)
		return
	}
	next, denial := m.nextHop(c.submission, now)
	if denial != nil {
		m.replyEnding(r, denial)
		return
	}
	if next != m.opts.Self {
		m.forwardTo(now, r, next, c.hops, peermessenger.CancelJob{Submission: c.submission, Team: c.team, Hops: c.hops + 1})
		return
	}
	m.answerOrForward(now, r, c.team, c.submission, c.hops, peermessenger.CancelJob{Submission: c.submission, Team: c.team, Hops: c.hops + 1})
}

// cancelJob ends a job as failed, also when none of its tasks has started: if it
// ended as refused instead, a late resubmission would run it.
func (m *Machine) cancelJob(now time.Time, j *activeJob) {
	if !j.claimed {
		j.cancelled = true // it ends once its claim is granted
		return
	}
	detail := "the job was cancelled before any task started"
	if j.started() {
		detail = "the job was cancelled while it ran"
	}
	m.failJob(now, j, declarer.Cancelled, detail)
}
