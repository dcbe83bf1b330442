package backendcaller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// StartRequest asks a backend server to start a task.
type StartRequest struct {
	Task         identifier.TaskRef
	Holder       identifier.VMID // the VM that is responsible for the task
	Unrepeatable bool
	Lease        time.Duration // time limit, which is not renewed: the server stops the task after it
	Millicores   identifier.Millicores
	Memory       identifier.Mebibytes
	Accelerators int
	Payload      []byte // JSON
}
