package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// violation is what a world found, in tests that expect one.
type violation string

// catcher panics with the violation that it is told.
type catcher struct{}

// Fatalf implements failer.
func (catcher) Fatalf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// TestDefectsAreCaught holds that the checks of the world find what they are
// there for.
func TestDefectsAreCaught(t *testing.T) {
	for name, d := range map[string]defects{
		"a lost task starts again":                 {restartLost: true},
		"an overdue job is refused though it ran":  {refuseStarted: true},
		"an output goes to the wrong task":         {mixOutputs: true},
		"a job ends before its last task":          {endEarly: true},
		"a resubmission starts without its claim":  {skipClaim: true},
		"a forwarded request is forgotten":         {dropForwards: true},
		"a task of a failed job is reported wrong": {denyStarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if found := findViolation(seed, d); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Error("not caught in 200 histories")
		})
	}
}

// findViolation runs one history and returns what it violates.
func findViolation(seed uint64, d defects) (found violation) {
	defer func() {
		if r := recover(); r != nil {
			v, ok := r.(violation)
			if !ok {
				panic(r)
			}
			found = v
		}
	}()
	w := newWorld(catcher{}, seed, d)
	for range 40 {
		w.actAtRandom()
		for range w.rand.IntN(20) {
			w.advance(worldTick)
		}
	}
	w.settle()
	return ""
}

// actAtRandom does one thing, drawn from the world's own generator.
func (w *world) actAtRandom() {
	names := w.names()
	vm := w.vms[names[w.rand.IntN(len(names))]]
	ids := slices.Sorted(maps.Keys(w.clients))
	switch action := w.rand.IntN(8); {
	case action < 4 || len(ids) == 0:
		w.submit(w.newJob(1+w.rand.IntN(8)), vm, true)
	case action < 6:
		w.submit(ids[w.rand.IntN(len(ids))], vm, true)
	case action < 7:
		w.cancel(ids[w.rand.IntN(len(ids))], vm)
	default:
		w.kill(vm)
	}
}
