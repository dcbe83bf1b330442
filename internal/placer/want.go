package placer

import (
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
	Policy       Policy // nil takes the placer's default
}
