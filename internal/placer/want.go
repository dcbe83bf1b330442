package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Want is a task that waits for a slot.
type Want struct {
	Ref          identifier.TaskRef
	Millicores   identifier.Millicores
	Memory       identifier.Mebibytes
	Accelerators declarer.Accelerators
	Weighing     Weighing
	Since        time.Time                // when the task began to wait; zero: now
	Policy       Policy                   // nil takes the placer's default
	Domain       identifier.FailureDomain // the only one where the task may run; empty: any
}

// covers reports whether the task is at least as hard to place as another one.
func (w *Want) covers(other *Want) bool {
	if other.Domain != "" && other.Domain != w.Domain {
		return false
	}
	return other.Millicores <= w.Millicores && other.Memory <= w.Memory && other.Accelerators <= w.Accelerators
}
