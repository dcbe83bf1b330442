package burnreporter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Observation describes one ended job.
type Observation struct {
	Team          identifier.Team
	Profile       identifier.ProfileName
	Ending        declarer.Ending
	Response      time.Duration // from arrival to ending
	IdealDuration time.Duration // the longest run time of a task; 0 when none ran
	Objective     Objective
}

// Objective is a profile's service-level objective.
type Objective struct {
	Target            float64 `cbor:"1,keyasint" json:"target"`            // fraction of requests, below 1
	ResponseOverIdeal float64 `cbor:"2,keyasint" json:"responseOverIdeal"` // highest ratio at which a complete job is good
}

// eventClass is how an ended job counts against the error budget.
type eventClass uint8

const (
	ignored eventClass = iota // caused by the caller, or without an objective
	good
	bad
)

// classOf returns the class of a job. A job that its caller cancelled, or that
// could never run, is ignored: it says nothing about the service.
func classOf(o Observation) eventClass {
	if o.Objective.Target <= 0 {
		return ignored // the job's profile has no objective
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
		if isCallerFault(e.Cause) {
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

// isCallerFault reports whether the caller caused the refusal.
func isCallerFault(cause declarer.RefusalCause) bool {
	switch cause {
	case declarer.BadRequest, declarer.UnknownProfile, declarer.RetiredProfile, declarer.TooLarge, declarer.DoesNotFit:
		return true
	default:
		return false
	}
}

// ratio returns the response time divided by the ideal, at least 1; it is 1 when
// no task ran.
func (o Observation) ratio() float64 {
	if o.IdealDuration <= 0 {
		return 1
	}
	return max(1, float64(o.Response)/float64(o.IdealDuration))
}
