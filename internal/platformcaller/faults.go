package platformcaller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Faults are the faults that a FakeService simulates. They can be changed at run time.
type Faults struct {
	Down                    bool                       // every call fails without effect
	Delay                   time.Duration              // of each call: half before its effect, half after
	LoseResponses           int                        // number of coming writes that take effect but whose responses are lost; each such write lowers it by 1
	LoseResponseProbability float64                    // the same for each further write, from 0 to 1
	ListLag                 time.Duration              // age of the list of VMs
	CutCallers              []identifier.VMID          // can't reach the service
	CutFailureDomains       []identifier.FailureDomain // their callers can't reach the service
}

// cutsOff reports whether the caller is cut off from the service.
func (f Faults) cutsOff(caller identifier.VMID, domain identifier.FailureDomain) bool {
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
