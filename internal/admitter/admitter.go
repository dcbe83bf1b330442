// Package admitter decides whether a job is taken, from what is known of the
// fleet at the moment it arrives. It answers the load of days on which more
// work arrives than the fleet can do: a job that would end late takes capacity
// from jobs that would not.
package admitter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Fleet is what is known of the backend servers that may run a job.
type Fleet struct {
	Capacity identifier.Millicores // of servers that take work
	// Ahead is the queued work that goes before the job, in millicores times
	// milliseconds.
	Ahead int64
	// Unplaced is the part of the job's own work that has no room now, in the
	// same unit.
	Unplaced int64
}

// Job is what the decision needs to know of a job.
type Job struct {
	Estimate time.Duration // of its longest task
	Slack    time.Duration // time that it may wait and still end within its objective
}

// Decision is the answer of Decide.
type Decision struct {
	Admit      bool
	Wait       time.Duration // expected until its last task starts
	RetryAfter time.Duration // when refused: until room is expected
	Reason     string
}

const (
	// packingEfficiency is the part of the fleet's cores that queued tasks of half a
	// server get at a time, with estimates that are off and queues at each owner;
	// docs/MEASUREMENTS.md has the days on which it was measured.
	packingEfficiency = 0.6
	// shortestRetry bounds RetryAfter from below, so that a caller doesn't come
	// back before anything can have changed: the period of load reports.
	shortestRetry = 100 * time.Millisecond
	// longestRetry bounds RetryAfter from above: what waits longer than this was
	// admitted by mistake.
	longestRetry = 5 * time.Second
)

// Decide takes or refuses a job.
func Decide(f Fleet, j Job) Decision {
	if f.Capacity <= 0 {
		return Decision{RetryAfter: time.Second, Reason: "no backend server takes work"}
	}
	var wait time.Duration
	if f.Unplaced > 0 {
		usable := float64(f.Capacity) * packingEfficiency
		wait = time.Duration(float64(f.Ahead+f.Unplaced) / usable * float64(time.Millisecond))
	}
	if wait <= j.Slack {
		return Decision{Admit: true, Wait: wait}
	}
	return Decision{
		Wait:       wait,
		RetryAfter: min(max(wait-j.Slack, shortestRetry), longestRetry),
		Reason:     "the job would end after its objective",
	}
}
