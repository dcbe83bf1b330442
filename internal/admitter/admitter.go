// Package admitter decides whether to admit a job, from the state of the fleet
// when the job arrives. On days when more work arrives than the fleet can do, a
// job that would end late is refused, because it takes capacity from jobs that
// would end in time.
package admitter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Fleet describes the backend servers that may run a job.
type Fleet struct {
	Capacity identifier.Millicores // total cores of the servers that accept tasks
	// QueuedAhead is the queued work that runs before the job, in millicores times
	// milliseconds.
	QueuedAhead int64
	// Unplaced is the work of the job's own tasks that no server has room for
	// now, in millicores times milliseconds.
	Unplaced int64
}

// Job describes the job to decide on.
type Job struct {
	Estimate time.Duration // run time of its longest task
	Slack    time.Duration // how long it may wait and still end within its objective
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	Wait       time.Duration // expected time until the job's last task starts
	RetryAfter time.Duration // of a refusal: expected time until there is room
	Reason     string        // of a refusal
}

const (
	// packingEfficiency is the share of the fleet's cores that queued tasks use at
	// a time when each needs half a server, estimates are inexact and every owner
	// has its own queue; docs/MEASUREMENTS.md lists the measurements behind it.
	packingEfficiency = 0.6
	// minRetryAfter is the period of the load reports: a caller that retries
	// earlier finds the same state of the fleet.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds RetryAfter, since a queued job that waits longer than
	// this should not have been admitted.
	maxRetryAfter = 5 * time.Second
)

// Decide admits a job, or refuses it with a reason.
func Decide(f Fleet, j Job) Decision {
	if f.Capacity <= 0 {
		return Decision{RetryAfter: time.Second, Reason: "no backend server takes work"}
	}
	var wait time.Duration
	if f.Unplaced > 0 {
		usable := float64(f.Capacity) * packingEfficiency
		wait = time.Duration(float64(f.QueuedAhead+f.Unplaced) / usable * float64(time.Millisecond))
	}
	if wait <= j.Slack {
		return Decision{Admit: true, Wait: wait}
	}
	return Decision{
		Wait:       wait,
		RetryAfter: min(max(wait-j.Slack, minRetryAfter), maxRetryAfter),
		Reason:     "the job would end after its objective",
	}
}
