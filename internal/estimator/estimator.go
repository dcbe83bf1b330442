// Package estimator learns how long the tasks of each profile run, and how far
// their declared run times can be trusted.
//
// An Estimator is deterministic and keeps a fixed amount of memory for each of
// a bounded number of profiles. It is not safe for concurrent use.
package estimator

import (
	"math"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// DefaultMaxProfiles bounds the profiles that are known at once.
	DefaultMaxProfiles = 4096

	// unknownRunTime is expected of a task without a declaration under a
	// profile of which nothing is known yet.
	unknownRunTime = 500 * time.Millisecond

	// firstHigh is the ratio of the high estimate to the expected one as long
	// as nothing is known of the profile.
	firstHigh = 3.0

	highQuantile = 0.95
	maxRunTime   = time.Hour
	minRunTime   = time.Millisecond
)

// Estimator estimates run times.
type Estimator struct {
	opts     Options
	profiles map[identifier.ProfileName]*history
	uses     uint64
}

// New returns an Estimator that knows nothing.
func New(opts Options) *Estimator {
	if opts.MaxProfiles == 0 {
		opts.MaxProfiles = DefaultMaxProfiles
	}
	return &Estimator{opts: opts, profiles: make(map[identifier.ProfileName]*history)}
}

// Observe learns from a task that ran to its end. A declared time of 0 means
// that none was declared.
func (e *Estimator) Observe(profile identifier.ProfileName, declared, actual time.Duration) {
	h, ok := e.profiles[profile]
	if !ok {
		e.evict()
		h = &history{}
		e.profiles[profile] = h
	}
	e.uses++
	h.lastUse = e.uses
	h.observe(bound(declared), bound(actual))
}

// Estimate returns the expected run time of a task and a high one, which is
// exceeded by few tasks.
func (e *Estimator) Estimate(profile identifier.ProfileName, declared time.Duration) (expected, high time.Duration) {
	h, ok := e.profiles[profile]
	if !ok {
		h = &history{}
	}
	return h.estimate(bound(declared))
}

// evict makes room for a profile by dropping the one that was learned from
// longest ago.
func (e *Estimator) evict() {
	if len(e.profiles) < e.opts.MaxProfiles {
		return
	}
	var oldest identifier.ProfileName
	least := uint64(math.MaxUint64)
	for name, h := range e.profiles {
		if h.lastUse < least {
			oldest, least = name, h.lastUse
		}
	}
	delete(e.profiles, oldest)
}

// bound keeps a declared time of 0, and moves others into the range of the
// histograms.
func bound(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return min(maxRunTime, max(minRunTime, d))
}
