package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TaskNeeds is a task that waits for a slot, with what it needs of a backend server.
type TaskNeeds struct {
	Ref          identifier.TaskRef
	Millicores   identifier.Millicores
	Memory       identifier.Mebibytes
	Accelerators declarer.Accelerators
	Goal         Goal
	WaitingSince time.Time                // when the task began to wait; zero: now
	Policy       Policy                   // nil takes Options.DefaultPolicy
	Domain       identifier.FailureDomain // the only one where the task may run; empty: any
}

// covers reports whether a place that fits w also fits other.
func (w *TaskNeeds) covers(other *TaskNeeds) bool {
	if other.Domain != "" && other.Domain != w.Domain {
		return false
	}
	return other.Millicores <= w.Millicores && other.Memory <= w.Memory && other.Accelerators <= w.Accelerators
}
