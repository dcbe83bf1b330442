package dispatcher

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// drawVM draws one of the VMs.
func (w *world) drawVM(t *rapid.T, label string) *worldVM {
	return w.vms[rapid.SampledFrom(w.names()).Draw(t, label)]
}

func (w *world) drawSubmission(t *rapid.T) (identifier.SubmissionID, bool) {
	ids := slices.Sorted(maps.Keys(w.clients))
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(t, "submission"), true
}

// TestOutcomesUnderFaults drives several machines through kills, pauses, cuts,
// refused starts, lost answers, cancellations and resubmissions anywhere.
func TestOutcomesUnderFaults(t *testing.T) {
	reached := map[string]int{}
	histories := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), defects{})
		steps := rapid.IntRange(20, 80).Draw(t, "steps")
		for range steps {
			w.act(t)
			for range rapid.IntRange(0, 20).Draw(t, "ticks") {
				w.advance(worldTick)
			}
		}
		w.settle()
		histories++
		for kind, n := range w.faults {
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

// act does one thing that clients, operators or faults do.
func (w *world) act(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		id := w.newJob(rapid.IntRange(1, 8).Draw(t, "tasks"))
		w.submit(id, w.drawVM(t, "vm"), rapid.Bool().Draw(t, "wait"))
	case 3, 4:
		if id, ok := w.drawSubmission(t); ok {
			w.faults["resubmit"]++
			w.submit(id, w.drawVM(t, "vm"), true)
		}
	case 5:
		if id, ok := w.drawSubmission(t); ok {
			w.cancel(id, w.drawVM(t, "vm"))
		}
	case 6:
		w.kill(w.drawVM(t, "victim"))
	case 7:
		w.pause(w.drawVM(t, "paused"))
	case 8:
		if vm := w.drawVM(t, "resumed"); vm.paused {
			w.resume(vm)
		}
	case 9:
		a, b := w.drawVM(t, "a"), w.drawVM(t, "b")
		if a != b {
			w.setCut(a, b, rapid.Bool().Draw(t, "cut"))
		}
	}
}
