package loader

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names a distribution of run times.
type Kind string

// The distributions of run times.
const (
	KindUniform   Kind = "uniform"
	KindPareto    Kind = "pareto"
	KindLognormal Kind = "lognormal"
)

const (
	longestRunTime = time.Minute
	maxShape       = 100.0
)

// RunTimes is a distribution of run times between Min and Max, of which a share
// is replaced by longer ones.
type RunTimes struct {
	Kind Kind          `yaml:"kind" json:"kind"`
	Min  time.Duration `yaml:"min" json:"min"`
	Max  time.Duration `yaml:"max" json:"max"`
	// Shape is the tail index of pareto, or the sigma of lognormal.
	Shape float64 `yaml:"shape" json:"shape,omitempty"`
	// Median is the median of lognormal.
	Median time.Duration `yaml:"median" json:"median,omitempty"`
	// LongShare is the share of the tasks whose run time is drawn uniformly between
	// Max and Long.
	LongShare float64       `yaml:"longShare" json:"longShare,omitempty"`
	Long      time.Duration `yaml:"long" json:"long,omitempty"`
}

func (r RunTimes) validate() error {
	switch {
	case r.Min <= 0 || r.Max < r.Min || r.Max > longestRunTime:
		return errors.New("min and max: must be above 0, in order and at most 1m")
	case !isShare(r.LongShare):
		return errors.New("longShare: must be between 0 and 1")
	case r.LongShare > 0 && (r.Long < r.Max || r.Long > longestRunTime):
		return errors.New("long: must be between max and 1m")
	}
	_, err := r.distribution()
	return err
}

// distribution holds the parameters of a distribution; times are in seconds.
type distribution interface{ isDistribution() }

type (
	uniform   struct{ low, high float64 }
	pareto    struct{ low, shape float64 }
	lognormal struct{ median, sigma float64 }
)

func (uniform) isDistribution()   {}
func (pareto) isDistribution()    {}
func (lognormal) isDistribution() {}

func (r RunTimes) distribution() (d distribution, err error) {
	switch r.Kind {
	case KindUniform:
		return uniform{low: r.Min.Seconds(), high: r.Max.Seconds()}, nil
	case KindPareto:
		if !isPositiveUpTo(r.Shape, maxShape) {
			return nil, errors.New("shape: must be above 0 and at most 100 for pareto")
		}
		return pareto{low: r.Min.Seconds(), shape: r.Shape}, nil
	case KindLognormal:
		if !isPositiveUpTo(r.Shape, maxShape) || r.Median <= 0 {
			return nil, errors.New("shape and median: must be above 0, and shape at most 100, for lognormal")
		}
		return lognormal{median: r.Median.Seconds(), sigma: r.Shape}, nil
	default:
		return nil, errors.Newf("kind: %q is not uniform, pareto or lognormal", r.Kind)
	}
}

// draw returns a random run time, in whole milliseconds.
func (r RunTimes) draw(d distribution, rng *rand.Rand) time.Duration {
	if r.LongShare > 0 && rng.Float64() < r.LongShare {
		long := uniform{low: r.Max.Seconds(), high: r.Long.Seconds()}
		return durationOfSeconds(drawRunTimeSeconds(long, rng))
	}
	drawn := durationOfSeconds(drawRunTimeSeconds(d, rng))
	return min(max(drawn, r.Min), r.Max)
}

func drawRunTimeSeconds(d distribution, rng *rand.Rand) float64 {
	switch d := d.(type) {
	case uniform:
		return d.low + rng.Float64()*(d.high-d.low)
	case pareto:
		return d.low / math.Pow(1-rng.Float64(), 1/d.shape)
	case lognormal:
		return d.median * math.Exp(rng.NormFloat64()*d.sigma)
	default:
		panic("unknown kind of distribution")
	}
}

func durationOfSeconds(value float64) time.Duration {
	limited := min(value, longestRunTime.Seconds())
	return time.Duration(limited * float64(time.Second)).Round(time.Millisecond)
}
