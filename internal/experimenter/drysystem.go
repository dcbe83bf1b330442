package experimenter

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// DryRun opens systems that do nothing: faults are only recorded in the journal,
// and no job is sent.
type DryRun struct{}

type drySystem struct{}

// Open implements Opener.
func (DryRun) Open(context.Context, Scenario, profileparser.Policy) (System, error) {
	return drySystem{}, nil
}

// EntryVMs implements System. It returns no address.
func (drySystem) EntryVMs() []string { return nil }

// BackendAdmin implements System. It returns no address.
func (drySystem) BackendAdmin() string { return "" }

// SharedProcess implements System.
func (drySystem) SharedProcess() bool { return true }

// Inject implements System.
func (drySystem) Inject(context.Context, Fault) error { return nil }

// Close implements System.
func (drySystem) Close() error { return nil }
