package quarantiner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// failedJob is a job of which a task failed within failedJobRetention.
type failedJob struct {
	backend  identifier.BackendID // where it failed first
	poison   bool                 // failed on several backend servers
	failedAt time.Time            // of its last failure
}
