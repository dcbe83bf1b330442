package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// demand counts the tasks under Reserve that the last call of Place left
// without a place.
type demand struct {
	response     identifier.Slots // tasks with WeighResponse
	messages     identifier.Slots // tasks with WeighMessages
	waitingSince time.Time        // when the task that waits longest began to wait
	anyDomain    identifier.Slots // tasks that may run in any failure domain
	largestTask  Want             // the largest of each size
}

func (d *demand) total() identifier.Slots { return d.response + d.messages }

// longestWait is how long the task that waits longest has waited.
func (d *demand) longestWait(now time.Time) time.Duration {
	if d.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(d.waitingSince)
}

// raiseTo raises the total to the number of all waiting tasks, including those
// that were not passed to Place. Those are assumed to have WeighResponse when
// any counted task has it, and WeighMessages otherwise.
func (d *demand) raiseTo(waiting identifier.Slots) {
	more := waiting - d.total()
	switch {
	case more <= 0 || d.total() == 0:
	case d.response > 0:
		d.response += more
	default:
		d.messages += more
	}
}

func (d *demand) add(w *Want) {
	if !w.Since.IsZero() && (d.waitingSince.IsZero() || w.Since.Before(d.waitingSince)) {
		d.waitingSince = w.Since
	}
	if w.Domain == "" {
		d.anyDomain++
	}
	if w.Weighing == WeighMessages {
		d.messages++
	} else {
		d.response++
	}
	d.largestTask.Millicores = max(d.largestTask.Millicores, w.Millicores)
	d.largestTask.Memory = max(d.largestTask.Memory, w.Memory)
	d.largestTask.Accelerators = max(d.largestTask.Accelerators, w.Accelerators)
}
