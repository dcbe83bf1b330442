// Package estimator learns how long the tasks of each profile run and how accurate
// their declared run times are.
//
// An Estimator is deterministic and uses a fixed amount of memory for each of a
// bounded number of profiles. It is not safe for concurrent use.
package estimator

import (
	"math"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// DefaultMaxProfiles is the default of Options.MaxProfiles.
	DefaultMaxProfiles = 4096

	// defaultRunTime is the expected run time of a task without a declared one,
	// under a profile with fewer than minTasks observed tasks.
	defaultRunTime = 500 * time.Millisecond

	// defaultHighRatio is the ratio of the high estimate to the expected run time
	// under a profile with fewer than minTasks observed tasks.
	defaultHighRatio = 3.0

	highQuantile = 0.95
	maxRunTime   = time.Hour
	minRunTime   = time.Millisecond
)

// Estimator estimates run times.
type Estimator struct {
	opts     Options
	profiles map[identifier.ProfileName]*history
	observed uint64 // tasks observed so far
}

// New returns an Estimator without any observations.
func New(opts Options) *Estimator {
	if opts.MaxProfiles == 0 {
		opts.MaxProfiles = DefaultMaxProfiles
	}
	return &Estimator{opts: opts, profiles: make(map[identifier.ProfileName]*history)}
}

// Observe learns from a task that ran to its end. A declared run time of 0 means
// that none was declared.
func (e *Estimator) Observe(profile identifier.ProfileName, declared, actual time.Duration) {
	h, ok := e.profiles[profile]
	if !ok {
		e.evict()
		h = &history{}
		e.profiles[profile] = h
	}
	e.observed++
	h.lastObserved = e.observed
	h.observe(clampRunTime(declared), clampRunTime(actual))
}

// Estimate returns the expected run time of a task and a high estimate, meant to be
// exceeded by about 5% of the tasks. A declared run time of 0 means that none was
// declared.
func (e *Estimator) Estimate(profile identifier.ProfileName, declared time.Duration) (expected, high time.Duration) {
	h, ok := e.profiles[profile]
	if !ok {
		h = &history{}
	}
	return h.estimate(clampRunTime(declared))
}

// evict removes the profile whose last observation is the oldest, if MaxProfiles
// are kept already.
func (e *Estimator) evict() {
	if len(e.profiles) < e.opts.MaxProfiles {
		return
	}
	var oldest identifier.ProfileName
	oldestObserved := uint64(math.MaxUint64)
	for name, h := range e.profiles {
		if h.lastObserved < oldestObserved {
			oldest, oldestObserved = name, h.lastObserved
		}
	}
	delete(e.profiles, oldest)
}

// clampRunTime returns 0 if d is not positive. It clamps other run times to the
// range from minRunTime to maxRunTime, which the histograms cover.
func clampRunTime(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return min(maxRunTime, max(minRunTime, d))
}
