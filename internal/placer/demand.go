package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// demand is what the last call of Place left without a place under Reserve.
type demand struct {
	response identifier.Slots // tasks that weigh the response time more
	messages identifier.Slots // tasks that weigh the messages more
	since    time.Time        // when the task that waits longest began to
	spilling identifier.Slots // tasks that may run in any failure domain
	need     Want             // the largest sizes
}

func (d *demand) total() identifier.Slots { return d.response + d.messages }

// waiting is how long a task has waited.
func (d *demand) waiting(now time.Time) time.Duration {
	if d.since.IsZero() {
		return 0
	}
	return now.Sub(d.since)
}

// raise counts the tasks that wait besides those handed to Place, which are
// taken to weigh the same.
func (d *demand) raise(waiting identifier.Slots) {
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
	if !w.Since.IsZero() && (d.since.IsZero() || w.Since.Before(d.since)) {
		d.since = w.Since
	}
	if w.Domain == "" {
		d.spilling++
	}
	if w.Weighing == WeighMessages {
		d.messages++
	} else {
		d.response++
	}
	d.need.Millicores = max(d.need.Millicores, w.Millicores)
	d.need.Memory = max(d.need.Memory, w.Memory)
	d.need.Accelerators = max(d.need.Accelerators, w.Accelerators)
}
