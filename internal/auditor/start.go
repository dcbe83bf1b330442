package auditor

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Start is one start of a task that a backend server recorded.
type Start struct {
	Task    identifier.TaskRef
	Backend identifier.BackendID
	At      time.Time
}
