package limiter

import (
	"math/rand/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Limiter.
type Options struct {
	Self     identifier.Member
	Rand     *rand.Rand
	MaxTasks int // bound of the tasks queued for all teams together; 0 takes DefaultMaxTasks
	MaxLanes int // bound of the pairs of team and profile known at once; 0 takes DefaultMaxLanes

	// RetryFraction bounds the repeated starts to this fraction of the first
	// starts; 0 takes DefaultRetryFraction.
	RetryFraction float64
}

// The defaults of the options.
const (
	DefaultMaxTasks      = 200_000
	DefaultMaxLanes      = 20_000
	DefaultRetryFraction = 0.2
)

func (o Options) withDefaults() Options {
	if o.MaxTasks == 0 {
		o.MaxTasks = DefaultMaxTasks
	}
	if o.MaxLanes == 0 {
		o.MaxLanes = DefaultMaxLanes
	}
	if o.RetryFraction == 0 {
		o.RetryFraction = DefaultRetryFraction
	}
	return o
}
