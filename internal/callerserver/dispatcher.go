package callerserver

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Dispatcher handles the callers' checked requests.
type Dispatcher interface {
	// Submit returns the job's status once the job has ended, or with wait false once it is admitted.
	Submit(ctx context.Context, job declarer.Job, wait bool) (declarer.Status, error)
	// Fetch returns the job's status once the job has ended or the wait is over.
	Fetch(ctx context.Context, team identifier.Team, id identifier.SubmissionID, wait time.Duration) (declarer.Status, error)
	// Cancel cancels the job and returns its status.
	Cancel(ctx context.Context, team identifier.Team, id identifier.SubmissionID) (declarer.Status, error)
}

// BusyError reports that too many requests are open. The request was not
// examined, so an earlier attempt of its submission may have started.
type BusyError struct {
	RetryAfter time.Duration
}

// Error names the time after which to retry.
func (e *BusyError) Error() string {
	return "too many requests are open; come back after " + e.RetryAfter.String()
}
