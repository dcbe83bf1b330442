package experimenter

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// System is a running system to which a workload can be offered.
type System interface {
	// EntryVMs returns the callers' addresses of the entry VMs. They stay the same
	// when an entry VM is replaced.
	EntryVMs() []string
	// BackendAdmin returns the address of the backend servers' admin API.
	BackendAdmin() string
	// SharedProcess reports whether all daemons run in one process.
	SharedProcess() bool
	// Inject injects a fault. It returns once the fault is in effect.
	Inject(ctx context.Context, fault Fault) error
	// Close ends whatever Open started and waits for it.
	Close() error
}

// Opener opens the system of a scenario with one placement policy.
type Opener interface {
	Open(ctx context.Context, s Scenario, policy profileparser.Policy) (System, error)
}
