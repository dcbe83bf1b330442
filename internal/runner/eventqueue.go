package runner

import "context"

// eventQueue is a bounded queue of events for the goroutine that owns a state
// machine.
type eventQueue[E any] struct {
	events chan E
	done   <-chan struct{}
}

func newEventQueue[E any](ctx context.Context, capacity int) eventQueue[E] {
	return eventQueue[E]{events: make(chan E, capacity), done: ctx.Done()}
}

// offer adds an event without blocking; it returns false when the queue is full.
func (q eventQueue[E]) offer(e E) bool {
	select {
	case q.events <- e:
		return true
	default:
		return false
	}
}

// put adds an event that must not be lost. It blocks while the queue is full, which
// slows the sender down, and returns false when the queue is closed.
func (q eventQueue[E]) put(e E) bool {
	select {
	case q.events <- e:
		return true
	case <-q.done:
		return false
	}
}
