package pacer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	estimateError = 0.4  // of estimates, as a logarithm's deviation
	tail          = 0.03 // share of the tasks that take tailFactor times as long as estimated
	tailFactor    = 7.0
	estimate      = 100 * time.Millisecond
)

// drawRun returns the run time of a task with the estimate on a server of a speed.
func drawRun(r *rand.Rand, speed float64) time.Duration {
	ratio := math.Exp(estimateError*r.NormFloat64()) / speed
	if r.Float64() < tail {
		ratio *= tailFactor
	}
	return time.Duration(ratio * float64(estimate))
}

// TestPace checks that the pace of a server is found within 50 runs in 99 of 100 cases, with
// estimates that are 40% off and a tail of long tasks, closely enough to tell speeds of 0.7
// and 1.7 apart.
func TestPace(t *testing.T) {
	const cases = 1000
	for _, speed := range []float64{0.7, 1, 1.7} {
		wrong := 0
		for seed := range uint64(cases) {
			r := rand.New(rand.NewPCG(seed, 1))
			var m Meter
			for range 50 {
				m.Observe(drawRun(r, speed), estimate)
			}
			if off := m.Pace() * speed; off < 0.7 || off > 1.4 {
				wrong++
			}
		}
		if wrong > cases/100 {
			t.Errorf("speed %v: the pace is wrong in %d of %d cases", speed, wrong, cases)
		}
	}
}

// TestLongTasksDontMakeAServerSlow guards against servers that are taken to be slow because
// of a tail of long tasks: at most one judgement in a thousand runs.
func TestLongTasksDontMakeAServerSlow(t *testing.T) {
	const runs = 100_000
	for _, speed := range []float64{0.7, 1, 1.7} {
		r := rand.New(rand.NewPCG(7, 1))
		var m Meter
		slow := 0
		for range runs {
			m.Observe(drawRun(r, speed), estimate)
			if m.TurnedSlow(1) {
				slow++
				m.ForgetRecent()
			}
		}
		t.Logf("speed %v: slow %d times in %d runs", speed, slow, runs)
		if slow > runs/1000 {
			t.Errorf("speed %v: slow %d times in %d runs", speed, slow, runs)
		}
	}
}

// TestServerThatTurnsSlowIsFound checks that a server that has turned four times as slow is
// found within eight runs in 95 of 100 cases.
func TestServerThatTurnsSlowIsFound(t *testing.T) {
	found := 0
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 2))
		var m Meter
		for range 30 {
			m.Observe(drawRun(r, 1), estimate)
		}
		for range 8 {
			m.Observe(drawRun(r, 0.25), estimate)
			if m.TurnedSlow(1) {
				found++
				break
			}
		}
	}
	if found < 950 {
		t.Errorf("found in %d of 1000 cases", found)
	}
}

// TestAdopt checks that a measured pace outlives a change of the VM that measures.
func TestAdopt(t *testing.T) {
	var m Meter
	m.Adopt(0.6)
	if math.Abs(m.Pace()-0.6) > 1e-9 {
		t.Errorf("the adopted pace is %v", m.Pace())
	}
	for range 200 {
		m.Observe(2*estimate, estimate)
	}
	m.Adopt(0.6)
	if m.Pace() < 1.5 {
		t.Errorf("a measured pace of 2 was replaced: %v", m.Pace())
	}
}
