package burnreporter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Observation is one ended job.
type Observation struct {
	Team      identifier.Team
	Profile   identifier.ProfileName
	Ending    declarer.Ending
	Response  time.Duration // from arrival to ending
	Ideal     time.Duration // the longest run time of a task; 0 when none ran
	Objective Objective
}

// Objective is a profile's service-level objective.
type Objective struct {
	Target            float64 `cbor:"1,keyasint" json:"target"`            // fraction of requests, below 1
	ResponseOverIdeal float64 `cbor:"2,keyasint" json:"responseOverIdeal"` // ratio within which a complete job is good
}

// verdict is how an ended job counts against the error budget.
type verdict uint8

const (
	ignored verdict = iota // the caller's own doing
	good
	bad
)

// verdictOf judges a job. A job that its caller cancelled, or that could never
// run, says nothing of the service.
func verdictOf(o Observation) verdict {
	if o.Objective.Target <= 0 {
		return ignored // no profile states an objective for the job
	}
	switch e := o.Ending.(type) {
	case declarer.Complete:
		if o.ratio() <= o.Objective.ResponseOverIdeal {
			return good
		}
		return bad
	case declarer.Failed:
		if e.Cause == declarer.Cancelled {
			return ignored
		}
		return bad
	case declarer.Refused:
		if callersDoing(e.Cause) {
			return ignored
		}
		return bad
	case declarer.Unverifiable:
		if e.Cause == declarer.BodyMismatch {
			return ignored
		}
		return bad
	default:
		return bad
	}
}

func callersDoing(cause declarer.RefusalCause) bool {
	switch cause {
	case declarer.BadRequest, declarer.UnknownProfile, declarer.RetiredProfile, declarer.TooLarge, declarer.DoesNotFit:
		return true
	default:
		return false
	}
}

// ratio returns the response time over the ideal, at least 1.
func (o Observation) ratio() float64 {
	if o.Ideal <= 0 {
		return 1
	}
	return max(1, float64(o.Response)/float64(o.Ideal))
}
