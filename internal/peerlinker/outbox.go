package peerlinker

import "sync"

// outbox is a bounded queue of encoded messages for one peer. It takes memory only
// while messages wait.
type outbox struct {
	mu       sync.Mutex
	messages [][]byte
	full     bool          // a message found no room; the link has to go down
	wake     chan struct{} // told when there is something to take
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1)}
}

// put adds a message, or reports false when there is no room.
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
	default: // already told
	}
	return fits
}

// take returns all messages that wait, and whether one found no room.
func (o *outbox) take() (messages [][]byte, full bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages = o.messages
	o.messages = nil
	return messages, o.full
}
