package experimenter

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// System is a running system that a workload can be offered to.
type System interface {
	// EntryVMs returns the callers' addresses, which stay the same when an entry
	// VM is replaced.
	EntryVMs() []string
	// BackendControl returns the address of the backend servers' administration.
	BackendControl() string
	// Shared says whether all daemons run in one process.
	Shared() bool
	// Inject brings about a fault. It returns once the fault is in effect.
	Inject(ctx context.Context, fault Fault) error
	// Close ends what was opened and waits for it.
	Close() error
}

// Opener opens the system of a scenario under one policy.
type Opener interface {
	Open(ctx context.Context, s Scenario, policy profileparser.Policy) (System, error)
}
