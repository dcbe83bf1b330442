package dispatcher

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// drawVM draws one of the VMs.
func (s *simulation) drawVM(t *rapid.T, label string) *simVM {
	return s.vms[rapid.SampledFrom(s.vmIDs()).Draw(t, label)]
}

func (s *simulation) drawSubmission(t *rapid.T) (identifier.SubmissionID, bool) {
	ids := slices.Sorted(maps.Keys(s.clients))
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(t, "submission"), true
}

// TestOutcomesUnderFaults guards against wrong or missing answers under faults: it
// drives several machines through kills, pauses, network partitions, refused
// starts, lost answers, cancellations and resubmissions to any VM.
func TestOutcomesUnderFaults(t *testing.T) {
	reached := map[string]int{}
	histories := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), defects{})
		steps := rapid.IntRange(20, 80).Draw(t, "steps")
		for range steps {
			s.actAsDrawn(t)
			for range rapid.IntRange(0, 20).Draw(t, "ticks") {
				s.advance(simTick)
			}
		}
		s.settle()
		histories++
		for kind, n := range s.faults {
			reached[kind] += n
		}
	})
	t.Logf("%d histories; reached %v", histories, reached)
	for _, kind := range []string{"kill", "pause", "cut", "startRefused", "answerLost", "taskFailed", "straggler", "cancel", "resubmit"} {
		if reached[kind] == 0 {
			t.Errorf("no history reached a fault of kind %s", kind)
		}
	}
}

// actAsDrawn does one action of clients or injects one fault, as drawn by rapid.
func (s *simulation) actAsDrawn(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		id := s.newJob(rapid.IntRange(1, 8).Draw(t, "tasks"))
		s.submit(id, s.drawVM(t, "vm"), rapid.Bool().Draw(t, "wait"))
	case 3, 4:
		if id, ok := s.drawSubmission(t); ok {
			s.faults["resubmit"]++
			s.submit(id, s.drawVM(t, "vm"), true)
		}
	case 5:
		if id, ok := s.drawSubmission(t); ok {
			s.cancel(id, s.drawVM(t, "vm"))
		}
	case 6:
		s.kill(s.drawVM(t, "victim"))
	case 7:
		s.pause(s.drawVM(t, "paused"))
	case 8:
		if vm := s.drawVM(t, "resumed"); vm.paused {
			s.resume(vm)
		}
	case 9:
		a, b := s.drawVM(t, "a"), s.drawVM(t, "b")
		if a != b {
			s.setCut(a, b, rapid.Bool().Draw(t, "cut"))
		}
	}
}
