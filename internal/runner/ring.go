package runner

import "context"

// ring is a bounded queue of events in front of the goroutine that owns a
// state machine.
type ring[E any] struct {
	events chan E
	done   <-chan struct{}
}

func newRing[E any](ctx context.Context, capacity int) ring[E] {
	return ring[E]{events: make(chan E, capacity), done: ctx.Done()}
}

// offer adds an event, or reports false when the ring is full or closed.
func (r ring[E]) offer(e E) bool {
	select {
	case r.events <- e:
		return true
	default:
		return false
	}
}

// put adds an event that must not be lost. It waits while the ring is full,
// which slows its source down, and reports false when the ring is closed.
func (r ring[E]) put(e E) bool {
	select {
	case r.events <- e:
		return true
	case <-r.done:
		return false
	}
}
