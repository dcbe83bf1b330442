package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// keptEnding is the ending of a submission that ran earlier.
type keptEnding struct {
	digest uint64
	team   identifier.Team
	ending declarer.Ending
}

// claims keeps the endings of submissions.
type claims struct {
	endings map[identifier.SubmissionID]keptEnding
}

func newClaims(Options) claims {
	return claims{endings: make(map[identifier.SubmissionID]keptEnding)}
}

func (c *claims) kept(id identifier.SubmissionID) (keptEnding, bool) {
	k, ok := c.endings[id]
	return k, ok
}

func (c *claims) ended(j *runningJob, ending declarer.Ending) {
	c.endings[j.job.Submission] = keptEnding{digest: j.digest, team: j.job.Team, ending: ending}
}

func (c *claims) handedOver() bool { return true }

func (m *Machine) home(identifier.SubmissionID, time.Time) (identifier.Member, declarer.Ending) {
	return m.opts.Self, nil
}

func (m *Machine) askClaim(now time.Time, j *runningJob) { m.start(now, j) }

func (m *Machine) claimsPeerLost(time.Time, identifier.Member) {}
func (m *Machine) claimsReceived(time.Time, PeerReceived)      {}
func (m *Machine) claimsTick(time.Time)                        {}
func (m *Machine) claimsDrain(time.Time)                       {}
