package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// violation is the message of a failed check, in tests that expect one.
type violation string

// panicFailer panics with the violation that a check reports.
type panicFailer struct{}

// Fatalf implements failer.
func (panicFailer) Fatalf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// TestDefectsAreCaught guards against checks of the simulation that find nothing:
// it injects one defect at a time, and some history must violate a check.
func TestDefectsAreCaught(t *testing.T) {
	for name, d := range map[string]defects{
		"a lost task starts again":                 {restartUnknown: true},
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
			t.Error("no check found the defect in 200 histories")
		})
	}
}

// findViolation runs one history and returns its violation, or "".
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
	s := newSimulation(panicFailer{}, seed, d)
	for range 40 {
		s.actRandomly()
		for range s.rand.IntN(20) {
			s.advance(simTick)
		}
	}
	s.settle()
	return ""
}

// actRandomly does one action, drawn from the simulation's own generator.
func (s *simulation) actRandomly() {
	names := s.vmIDs()
	vm := s.vms[names[s.rand.IntN(len(names))]]
	ids := slices.Sorted(maps.Keys(s.clients))
	switch action := s.rand.IntN(8); {
	case action < 4 || len(ids) == 0:
		s.submit(s.newJob(1+s.rand.IntN(8)), vm, true)
	case action < 6:
		s.submit(ids[s.rand.IntN(len(ids))], vm, true)
	case action < 7:
		s.cancel(ids[s.rand.IntN(len(ids))], vm)
	default:
		s.kill(vm)
	}
}
