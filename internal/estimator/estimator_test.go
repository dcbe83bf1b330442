package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func TestEstimate(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	millis := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tc := range []struct {
		name     string
		observe  func() (declared, actual time.Duration)
		declared time.Duration
		want     time.Duration
	}{
		{name: "nothing observed, one declared", declared: millis(100), want: millis(100)},
		{name: "nothing observed, none declared", want: defaultRunTime},
		{
			name:     "exact declarations",
			observe:  func() (time.Duration, time.Duration) { d := millis(50 + r.IntN(950)); return d, d },
			declared: millis(200), want: millis(200),
		},
		{
			name:     "declarations ten times too short",
			observe:  func() (time.Duration, time.Duration) { d := millis(5 + r.IntN(95)); return d, 10 * d },
			declared: millis(20), want: millis(200),
		},
		{
			name:     "declarations unrelated to run times",
			observe:  func() (time.Duration, time.Duration) { return millis(1 + r.IntN(10000)), millis(290 + r.IntN(20)) },
			declared: millis(5000), want: millis(300),
		},
		{
			name:     "run times known, none declared",
			observe:  func() (time.Duration, time.Duration) { return 0, millis(150) },
			declared: 0, want: millis(150),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := New(Options{})
			for i := 0; tc.observe != nil && i < 2000; i++ {
				declared, actual := tc.observe()
				e.Observe("p", declared, actual)
			}
			got, high := e.Estimate("p", tc.declared)
			if ratio := float64(got) / float64(tc.want); ratio < 0.85 || ratio > 1.18 {
				t.Errorf("expected run time %v, want about %v", got, tc.want)
			}
			if high < got {
				t.Errorf("high estimate %v is below the expected run time %v", high, got)
			}
		})
	}
}

func TestEstimateHigh(t *testing.T) {
	e := New(Options{})
	r := rand.New(rand.NewPCG(1, 1))
	draw := func() time.Duration { return time.Duration(100*r.ExpFloat64()+10) * time.Millisecond }
	for range 5000 {
		e.Observe("p", 0, draw())
	}
	_, high := e.Estimate("p", 0)
	exceeded := 0
	for range 10000 {
		if draw() > high {
			exceeded++
		}
	}
	if exceeded < 200 || exceeded > 900 {
		t.Errorf("%d of 10000 tasks exceed the high estimate of %v, want 200 to 900", exceeded, high)
	}
}

func TestEstimatorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Options{MaxProfiles: 8})
		names := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 200).Draw(t, "names")
		duration := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "nanos")) })
		for _, n := range names {
			name := identifier.ProfileName(fmt.Sprint(n))
			e.Observe(name, duration.Draw(t, "declared"), duration.Draw(t, "actual"))
			expected, high := e.Estimate(name, duration.Draw(t, "declared"))
			if expected < minRunTime || expected > high || high > maxRunTime {
				t.Fatalf("expected run time %v, high estimate %v", expected, high)
			}
			if len(e.profiles) > 8 {
				t.Fatalf("%d profiles are kept, want at most 8", len(e.profiles))
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	e := New(Options{})
	for i := range b.N {
		e.Observe("p", 100*time.Millisecond, time.Duration(50+i%100)*time.Millisecond)
	}
}

func BenchmarkEstimate(b *testing.B) {
	e := New(Options{})
	for i := range 1000 {
		e.Observe("p", 100*time.Millisecond, time.Duration(50+i%100)*time.Millisecond)
	}
	for b.Loop() {
		e.Estimate("p", 100*time.Millisecond)
	}
}
