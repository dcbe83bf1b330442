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
	if j, ok := m.jobs[c.submission]; ok && j.job.Team == c.team {
		m.addWaiter(r, j, time.Time{}, true)
		m.cancelJob(now, j)
		return
	}
	home, denial := m.home(c.submission, now)
	if denial != nil {
		m.replyEnding(r, denial)
		return
	}
	if home != m.opts.Self {
		m.forwardTo(now, r, home, c.hops, peermessenger.CancelJob{Submission: c.submission, Team: c.team, Hops: c.hops + 1})
		return
	}
	m.askRunner(now, r, c.team, c.submission, c.hops, peermessenger.CancelJob{Submission: c.submission, Team: c.team, Hops: c.hops + 1})
}

// cancelJob ends a job. A cancelled job stays ended: it is a failure, also when
// no task had started, so that a late resubmission does not run it.
func (m *Machine) cancelJob(now time.Time, j *runningJob) {
	if !j.claimed {
		j.cancelled = true // settled with its claim
		return
	}
	detail := "the job was cancelled before any task started"
	if j.started() {
		detail = "the job was cancelled while it ran"
	}
	m.fail(now, j, declarer.Cancelled, detail)
}
