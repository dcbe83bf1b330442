package callerserver

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Dispatcher answers callers' requests.
type Dispatcher interface {
	// Submit returns the job's status once it ended, or once it was admitted when wait is false.
	Submit(ctx context.Context, job declarer.Job, wait bool) (declarer.Status, error)
	// Fetch returns the job's status once it ended or the wait is over.
	Fetch(ctx context.Context, team identifier.Team, id identifier.SubmissionID, wait time.Duration) (declarer.Status, error)
	// Cancel cancels the job and returns its status.
	Cancel(ctx context.Context, team identifier.Team, id identifier.SubmissionID) (declarer.Status, error)
}

// BusyError reports that the daemon has no room for another request. Nothing
// of the request was looked at, so that an earlier attempt may have started.
type BusyError struct {
	RetryAfter time.Duration
}

// Error says when to come back.
func (e *BusyError) Error() string {
	return "too many requests are open; come back after " + e.RetryAfter.String()
}
