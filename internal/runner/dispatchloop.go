package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/pausedetector"
)

// dispatchLoop owns the dispatcher's machine: it steps the machine with the events
// of its queue and carries out the effects.
type dispatchLoop struct {
	queue   eventQueue[dispatcher.Event]
	machine *dispatcher.Machine
	perform func(dispatcher.Effect)
}

// run steps the machine until the context ends. Before an event that follows a pause of
// this process, it reports the pause.
func (l *dispatchLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pauses := pausedetector.New()
	for {
		var e dispatcher.Event
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e = dispatcher.Tick{}
		case e = <-l.queue.events:
		}
		if gap := pauses.Gap(); gap > pauseThreshold {
			l.step(dispatcher.Resumed{Gap: gap})
		}
		l.step(e)
	}
}

func (l *dispatchLoop) step(e dispatcher.Event) {
	for _, effect := range l.machine.Step(time.Now(), e) {
		l.perform(effect)
	}
}
