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
	Cut               bool                       `json:"cut"`               // no byte reaches it or leaves it; its tasks keep running
	CutCallers        []identifier.VMID          `json:"cutCallers"`        // like Cut, but only for these callers
	CutFailureDomains []identifier.FailureDomain `json:"cutFailureDomains"` // like Cut, but only for callers in these failure domains
	Full              bool                       `json:"full"`              // it refuses every start
	Leaving           bool                       `json:"leaving"`           // it reports that it leaves and refuses every start; running tasks finish
	Failing           bool                       `json:"failing"`           // every task that starts fails at once
	Straggle          float64                    `json:"straggle"`          // multiplies the run time of tasks that start; 0 means 1
}

// failingRunTime is the longest run time of a task on a server with the fault
// Failing.
const failingRunTime = time.Millisecond

// Selector selects backend servers of a fleet: all of them, or those that any of
// its lists names.
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
