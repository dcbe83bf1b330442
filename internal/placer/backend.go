package placer

import (
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Backend is a backend server as the platform lists it.
type Backend struct {
	ID           identifier.BackendID
	Domain       identifier.FailureDomain
	Rack         identifier.RackID
	Address      string
	Slots        identifier.Slots
	Connections  int // at most, from all entry VMs together
	Millicores   identifier.Millicores
	Memory       identifier.Mebibytes
	Accelerators declarer.Accelerators
	Leaving      bool
}

// fits reports whether the backend server could hold the task when idle.
func (b *Backend) fits(w *TaskNeeds) bool {
	if w.Domain != "" && w.Domain != b.Domain {
		return false
	}
	return w.Millicores <= b.Millicores && w.Memory <= b.Memory && w.Accelerators <= b.Accelerators
}
