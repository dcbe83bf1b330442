package backendserver

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Faults are the faults of a backend server that can be set at run time.
type Faults struct {
	Dead              bool                       `json:"dead"`              // its tasks end, its connections and listener are closed
	Frozen            bool                       `json:"frozen"`            // it answers nothing and no task ends
	Cut               bool                       `json:"cut"`               // no byte reaches it or leaves it; its tasks go on
	CutCallers        []identifier.VMID          `json:"cutCallers"`        // as Cut, for these callers alone
	CutFailureDomains []identifier.FailureDomain `json:"cutFailureDomains"` // as Cut, for the callers in these alone
	Full              bool                       `json:"full"`              // it refuses every start
	Leaving           bool                       `json:"leaving"`           // it refuses every start and says so; running tasks end
	Failing           bool                       `json:"failing"`           // it fails every task at once
	Straggle          float64                    `json:"straggle"`          // multiplies the run time of tasks that start; 0 is 1
}

// failingRunTime is how long a task runs on a server that fails every task.
const failingRunTime = time.Millisecond

// Selector selects backend servers of a fleet: each that any of its lists names.
type Selector struct {
	All            bool                       `json:"all"`
	Servers        []identifier.BackendID     `json:"servers"`
	Racks          []identifier.RackID        `json:"racks"`
	FailureDomains []identifier.FailureDomain `json:"failureDomains"`
}

func (s Selector) selects(b *server) bool {
	return s.All ||
		slices.Contains(s.Servers, b.id) ||
		slices.Contains(s.Racks, b.rack) ||
		slices.Contains(s.FailureDomains, b.domain)
}
