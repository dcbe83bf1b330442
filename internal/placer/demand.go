package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// demand counts the tasks under Reserve that the last call of Place left
// without a place.
type demand struct {
	latencyTasks identifier.Slots // tasks with the goal MinimizeLatency
	messageTasks identifier.Slots // tasks with the goal MinimizeMessages
	waitingSince time.Time        // when the task that waits longest began to wait
	anyDomain    identifier.Slots // tasks that may run in any failure domain
	maxNeeds     TaskNeeds        // the maximum of each resource over these tasks, not the needs of one of them
}

func (d *demand) total() identifier.Slots { return d.latencyTasks + d.messageTasks }

// longestWait is how long the task that waits longest has waited.
func (d *demand) longestWait(now time.Time) time.Duration {
	if d.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(d.waitingSince)
}

// raiseTo raises the total to the number of all waiting tasks, including those
// that were not passed to Place. Their goal is assumed to be MinimizeLatency when
// any counted task has it, and MinimizeMessages otherwise.
func (d *demand) raiseTo(waiting identifier.Slots) {
	more := waiting - d.total()
	switch {
	case more <= 0 || d.total() == 0:
	case d.latencyTasks > 0:
		d.latencyTasks += more
	default:
		d.messageTasks += more
	}
}

func (d *demand) add(w *TaskNeeds) {
	if !w.WaitingSince.IsZero() && (d.waitingSince.IsZero() || w.WaitingSince.Before(d.waitingSince)) {
		d.waitingSince = w.WaitingSince
	}
	if w.Domain == "" {
		d.anyDomain++
	}
	if w.Goal == MinimizeMessages {
		d.messageTasks++
	} else {
		d.latencyTasks++
	}
	d.maxNeeds.Millicores = max(d.maxNeeds.Millicores, w.Millicores)
	d.maxNeeds.Memory = max(d.maxNeeds.Memory, w.Memory)
	d.maxNeeds.Accelerators = max(d.maxNeeds.Accelerators, w.Accelerators)
}
