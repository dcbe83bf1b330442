package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
)

// dispatchDuty owns the dispatcher's machine: it steps it with the events of
// its ring and carries out the effects.
type dispatchDuty struct {
	ring    ring[dispatcher.Event]
	machine *dispatcher.Machine
	perform func(dispatcher.Effect)
}

// run steps the machine until the context ends.
func (d *dispatchDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.step(dispatcher.Tick{})
		case e := <-d.ring.events:
			d.step(e)
		}
	}
}

func (d *dispatchDuty) step(e dispatcher.Event) {
	for _, effect := range d.machine.Step(time.Now(), e) {
		d.perform(effect)
	}
}
