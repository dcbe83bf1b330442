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
	Connections  int // over all entry VMs together
	Millicores   identifier.Millicores
	Memory       identifier.Mebibytes
	Accelerators declarer.Accelerators
	Leaving      bool
}

// holds reports whether the backend server, when idle, could hold the task.
func (b *Backend) holds(w *Want) bool {
	if w.Domain != "" && w.Domain != b.Domain {
		return false
	}
	return w.Millicores <= b.Millicores && w.Memory <= b.Memory && w.Accelerators <= b.Accelerators
}
