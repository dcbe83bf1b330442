package peerlinker

import "sync"

// outbox is a bounded queue of encoded messages for one peer. It uses memory only
// while messages wait.
type outbox struct {
	mu       sync.Mutex
	messages [][]byte
	full     bool          // a message was refused; the session has to end
	wake     chan struct{} // signalled after each put
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1)}
}

// put adds a message, or returns false if the outbox is full.
func (o *outbox) put(m []byte) bool {
	o.mu.Lock()
	fits := !o.full && len(o.messages) < outboxCapacity
	if fits {
		o.messages = append(o.messages, m)
	}
	o.full = !fits
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default: // already signalled
	}
	return fits
}

// take removes and returns all waiting messages, and reports whether one was
// refused.
func (o *outbox) take() (messages [][]byte, full bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages = o.messages
	o.messages = nil
	return messages, o.full
}
