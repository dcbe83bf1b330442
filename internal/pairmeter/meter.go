// Package pairmeter notices which kinds of tasks slow each other down on one backend server.
//
// It compares the run times of a kind of task beside another kind with those of the same
// kind otherwise, both of late. A slow server, a wrong estimate, a long task or a moment in which
// everything is slow shows in both, and cancels out.
package pairmeter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind names a kind of task, by a hash of its route or profile. 0 is no kind.
type Kind uint32

const (
	// halfLife is the time in which what was seen loses half of its weight: a disturbance
	// that ends is forgotten within some of them.
	halfLife = 5 * time.Second
	// maxDeviation bounds how far one run may seem to be off, as a logarithm: about twice
	// the usual error of estimates, so that long tasks say little.
	maxDeviation = 0.8
	// minEffect is the least slowdown that counts: below it, a task that waits for another
	// server loses more.
	minEffect = 1.2
	// minRuns is the number of runs beside a kind, and of those otherwise, from which they
	// are compared.
	minRuns = 20
	// certainty is how many standard errors a slowdown must be above none before two kinds
	// are kept apart. They stay apart until it is below half of that.
	certainty = 5
	// maxPairs bounds the pairs that are kept; the one seen the longest ago goes first.
	maxPairs = 4096
	// maxReported bounds the pairs told to other VMs.
	maxReported = 16
	// reportedFor is how long a pair that another VM has told counts.
	reportedFor = 3 * time.Second
)

// Pair says that tasks of a kind run slower beside tasks of another.
type Pair struct {
	Kind   Kind    `cbor:"1,keyasint"`
	Beside Kind    `cbor:"2,keyasint"`
	Factor float64 `cbor:"3,keyasint"` // of run times; above 1
}

type pairKey struct{ kind, beside Kind }

// sample holds weighted run times, as logarithms of their ratio to what was expected.
type sample struct {
	weight, sum, squares float64
	weightSquares        float64 // for the number of runs that the weights stand for
	at                   time.Time
}

func (s *sample) decay(now time.Time) {
	if d := now.Sub(s.at); d > 0 && s.weight > 0 {
		f := math.Exp2(-d.Seconds() / halfLife.Seconds())
		s.weight, s.sum, s.squares, s.weightSquares = s.weight*f, s.sum*f, s.squares*f, s.weightSquares*f*f
	}
	s.at = now
}

func (s *sample) add(now time.Time, x float64) {
	s.decay(now)
	s.weight++
	s.weightSquares++
	s.sum += x
	s.squares += x * x
}

func (s *sample) mean() float64 { return s.sum / max(s.weight, 1e-9) }

// runs returns the number of runs that the sample stands for.
func (s *sample) runs() float64 {
	if s.weightSquares == 0 {
		return 0
	}
	return s.weight * s.weight / s.weightSquares
}

func (s *sample) variance() float64 {
	m := s.mean()
	return max(s.squares/max(s.weight, 1e-9)-m*m, 0)
}

// pairState is what was seen of a pair.
type pairState struct {
	sample
	apart  bool
	seenAt time.Time // the latest run
	told   float64   // factor that another VM has told
	until  time.Time
}

// Meter measures pairs of kinds on the servers of one VM.
type Meter struct {
	pairs map[pairKey]*pairState
	kinds map[Kind]*sample // all runs, whatever was beside them
}

// New returns a Meter that has seen no run.
func New() *Meter {
	return &Meter{pairs: make(map[pairKey]*pairState), kinds: make(map[Kind]*sample)}
}

// Observe records a run of a kind that ended well. expected is its estimate at the pace of
// its server, and beside are the kinds that ran there for most of its time.
func (m *Meter) Observe(now time.Time, kind Kind, elapsed, expected time.Duration, beside []Kind) {
	if kind == 0 || elapsed <= 0 || expected <= 0 {
		return
	}
	x := math.Log(float64(elapsed) / float64(expected))
	all := m.kinds[kind]
	if all == nil {
		if len(m.kinds) >= maxPairs {
			return
		}
		all = &sample{}
		m.kinds[kind] = all
	}
	if all.weight > 0 {
		x = all.mean() + min(max(x-all.mean(), -maxDeviation), maxDeviation)
	}
	all.add(now, x)
	for _, b := range beside {
		p := m.pair(now, pairKey{kind, b})
		p.add(now, x)
		p.seenAt = now
	}
}

func (m *Meter) pair(now time.Time, k pairKey) *pairState {
	p := m.pairs[k]
	if p == nil {
		m.evict()
		p = &pairState{sample: sample{at: now}, seenAt: now}
		m.pairs[k] = p
	}
	return p
}

// evict removes the pair that was seen the longest ago, if maxPairs are kept.
func (m *Meter) evict() {
	if len(m.pairs) < maxPairs {
		return
	}
	var oldest pairKey
	var at time.Time
	for k, p := range m.pairs {
		if at.IsZero() || p.seenAt.Before(at) {
			oldest, at = k, p.seenAt
		}
	}
	delete(m.pairs, oldest)
}

// Slowdown returns how many times as long tasks of a kind run beside another kind, and 1 if
// that isn't certain.
func (m *Meter) Slowdown(now time.Time, kind, beside Kind) float64 {
	p := m.pairs[pairKey{kind, beside}]
	if p == nil {
		return 1
	}
	factor := m.measured(now, kind, p)
	if now.Before(p.until) {
		factor = max(factor, p.told)
	}
	return factor
}

// measured returns the slowdown that this VM has measured itself.
func (m *Meter) measured(now time.Time, kind Kind, p *pairState) float64 {
	p.decay(now)
	all := m.kinds[kind]
	if all == nil {
		return 1
	}
	all.decay(now)
	other := sample{
		weight: all.weight - p.weight, sum: all.sum - p.sum, squares: all.squares - p.squares,
		weightSquares: all.weightSquares - p.weightSquares,
	}
	if p.runs() < minRuns || other.runs() < minRuns || other.weight < 1 {
		p.apart = p.apart && p.runs() >= 1
		if !p.apart {
			return 1
		}
	}
	effect := p.mean() - other.mean()
	deviation := math.Sqrt(p.variance()/max(p.runs(), 1) + other.variance()/max(other.runs(), 1))
	needed := certainty * deviation
	if p.apart {
		needed /= 2
	}
	p.apart = effect > needed && effect > math.Log(minEffect)
	if !p.apart {
		return 1
	}
	return math.Exp(effect)
}

// Evidence returns the runs of a kind that a comparison rests on, beside another kind and
// otherwise, and the time since the latest one beside it.
func (m *Meter) Evidence(now time.Time, kind, beside Kind) (runs, otherRuns int, age time.Duration) {
	p, all := m.pairs[pairKey{kind, beside}], m.kinds[kind]
	if p == nil || all == nil {
		return 0, 0, 0
	}
	age = now.Sub(p.seenAt)
	p.decay(now)
	all.decay(now)
	return int(p.runs()), int(max(all.runs()-p.runs(), 0)), age
}

// Found returns the pairs that this VM has measured, the strongest first.
func (m *Meter) Found(now time.Time) []Pair {
	var found []Pair
	for k, p := range m.pairs {
		if f := m.measured(now, k.kind, p); f > 1 {
			found = append(found, Pair{Kind: k.kind, Beside: k.beside, Factor: f})
		}
	}
	slices.SortFunc(found, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Beside, b.Beside))
	})
	return found[:min(len(found), maxReported)]
}

// Learn records pairs that another VM has found.
func (m *Meter) Learn(now time.Time, pairs []Pair) {
	for _, told := range pairs[:min(len(pairs), maxReported)] {
		if !(told.Factor > 1) || math.IsInf(told.Factor, 0) {
			continue
		}
		p := m.pair(now, pairKey{told.Kind, told.Beside})
		p.told, p.until = told.Factor, now.Add(reportedFor)
	}
}
