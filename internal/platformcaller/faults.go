package platformcaller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Faults are the faults of a Memory that can be set at run time.
type Faults struct {
	Down                  bool          // every call is refused with no effect
	Delay                 time.Duration // of each call, half of it before the effect and half after
	LoseAnswers           int           // the answers of this many next writes are lost after they took effect
	LoseAnswerProbability float64       // of each further write, from 0 to 1
	ListLag               time.Duration // how far the list of VMs lags behind
	CutCallers            []identifier.VMID
	CutFailureDomains     []identifier.FailureDomain
}

// cuts reports whether the caller can't reach the service.
func (f Faults) cuts(caller identifier.VMID, domain identifier.FailureDomain) bool {
	for _, c := range f.CutCallers {
		if c == caller {
			return true
		}
	}
	for _, d := range f.CutFailureDomains {
		if d == domain {
			return true
		}
	}
	return false
}
