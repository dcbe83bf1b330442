package limiter

import (
	"math/rand/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Limiter.
type Options struct {
	Self      identifier.Member
	Rand      *rand.Rand
	MaxTasks  int // bound of the queued tasks of all teams together; 0 takes DefaultMaxTasks
	MaxQueues int // bound of the queues, one for each pair of team and profile; 0 takes DefaultMaxQueues

	// RetryFraction is what a first start adds to the retry budget, in repeated
	// starts, when its job states no fraction: it bounds the repeated starts to this
	// fraction of the first starts. 0 takes DefaultRetryFraction.
	RetryFraction float64
}

// The defaults of the options.
const (
	DefaultMaxTasks      = 200_000
	DefaultMaxQueues     = 20_000
	DefaultRetryFraction = 0.2
)

func (o Options) withDefaults() Options {
	if o.MaxTasks == 0 {
		o.MaxTasks = DefaultMaxTasks
	}
	if o.MaxQueues == 0 {
		o.MaxQueues = DefaultMaxQueues
	}
	if o.RetryFraction == 0 {
		o.RetryFraction = DefaultRetryFraction
	}
	return o
}
