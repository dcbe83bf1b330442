package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
)

// dispatchLoop owns the dispatcher's machine: it steps the machine with the events
// of its queue and carries out the effects.
type dispatchLoop struct {
	queue   eventQueue[dispatcher.Event]
	machine *dispatcher.Machine
	perform func(dispatcher.Effect)
}

// run steps the machine until the context ends.
func (l *dispatchLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.step(dispatcher.Tick{})
		case e := <-l.queue.events:
			l.step(e)
		}
	}
}

func (l *dispatchLoop) step(e dispatcher.Event) {
	for _, effect := range l.machine.Step(time.Now(), e) {
		l.perform(effect)
	}
}
