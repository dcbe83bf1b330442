package jobserver

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/repeater"
)

// answers holds the requests that wait for an answer of the state machine.
type answers[T any] struct {
	mu      sync.Mutex
	last    repeater.RequestID
	waiting map[repeater.RequestID]chan T
}

func newAnswers[T any]() *answers[T] {
	return &answers[T]{waiting: make(map[repeater.RequestID]chan T)}
}

// register returns the id of a new request and the channel that its answer is sent to.
func (a *answers[T]) register() (repeater.RequestID, <-chan T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	answer := make(chan T, 1)
	a.waiting[a.last] = answer
	return a.last, answer
}

func (a *answers[T]) forget(id repeater.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// deliver sends the answer of a request, unless nothing waits for it any more.
func (a *answers[T]) deliver(id repeater.RequestID, answer T) {
	a.mu.Lock()
	waiting := a.waiting[id]
	a.mu.Unlock()
	if waiting != nil {
		waiting <- answer // doesn't block: each request is answered once, and the channel has room for one
	}
}

var (
	errQueueFull = errors.New("too many events wait for the state machine")
	errClosed    = errors.New("the server is closed")
)

// ask passes a request to the state machine as an event and returns its answer. It
// fails with errQueueFull, errClosed or the context's error.
func ask[T any](ctx context.Context, s *Server, a *answers[T], event func(repeater.RequestID) repeater.Event) (answer T, err error) {
	id, waiting := a.register()
	defer a.forget(id)
	select {
	case s.events <- event(id):
	default:
		return answer, errQueueFull
	}
	select {
	case answer := <-waiting:
		return answer, nil
	case <-ctx.Done():
		return answer, ctx.Err()
	case <-s.ctx.Done():
		return answer, errClosed
	}
}
