package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Want is a task that waits for a slot, with its requirements.
type Want struct {
	Ref          identifier.TaskRef
	Millicores   identifier.Millicores
	Memory       identifier.Mebibytes
	Accelerators declarer.Accelerators
	Weighing     Weighing
	Since        time.Time                // when the task began to wait; zero: now
	Policy       Policy                   // nil takes Options.Default
	Domain       identifier.FailureDomain // the only one where the task may run; empty: any
}

// covers reports whether a place that fits w also fits other.
func (w *Want) covers(other *Want) bool {
	if other.Domain != "" && other.Domain != w.Domain {
		return false
	}
	return other.Millicores <= w.Millicores && other.Memory <= w.Memory && other.Accelerators <= w.Accelerators
}
