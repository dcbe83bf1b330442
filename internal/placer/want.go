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
	Since        time.Time // when the task began to wait; zero: now
	Policy       Policy    // nil takes the placer's default
}

// covers reports whether the sizes are at least those of another task.
func (w *Want) covers(other *Want) bool {
	return other.Millicores <= w.Millicores && other.Memory <= w.Memory && other.Accelerators <= w.Accelerators
}
