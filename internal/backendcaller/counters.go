package backendcaller

import "sync/atomic"

// MessageKind is the kind of a message to or from a backend server.
type MessageKind string

// The kinds of messages.
const (
	HelloMessage      MessageKind = "hello" // and its answer, one of each per connection
	StartMessage      MessageKind = "start"
	ResultMessage     MessageKind = "result"
	RefusalMessage    MessageKind = "refusal"
	StopMessage       MessageKind = "stop"
	QueryMessage      MessageKind = "query"
	UsageMessage      MessageKind = "usage"
	ThrottleMessage   MessageKind = "throttle"
	CheckpointMessage MessageKind = "checkpoint"
)

// MessageKinds lists all kinds of messages.
var MessageKinds = []MessageKind{
	HelloMessage, StartMessage, ResultMessage, RefusalMessage, StopMessage,
	QueryMessage, UsageMessage, ThrottleMessage, CheckpointMessage,
}

// Count counts the messages that contributed to an answer and those that did
// not. Each request and each answer is one message; the answer to a start is a
// result or a refusal.
type Count struct {
	Needed uint64 `json:"needed"`
	Wasted uint64 `json:"wasted"`
}

// counters counts messages by kind, for concurrent use.
type counters struct {
	counts map[MessageKind]*atomicCount // not changed after newCounters
}

type atomicCount struct {
	needed atomic.Uint64
	wasted atomic.Uint64
}

func newCounters() *counters {
	c := &counters{counts: make(map[MessageKind]*atomicCount, len(MessageKinds))}
	for _, kind := range MessageKinds {
		c.counts[kind] = &atomicCount{}
	}
	return c
}

func (c *counters) countNeeded(kind MessageKind, n uint64) {
	c.counts[kind].needed.Add(n)
}

func (c *counters) countWasted(kind MessageKind, n uint64) {
	c.counts[kind].wasted.Add(n)
}

func (c *counters) snapshot() map[MessageKind]Count {
	counts := make(map[MessageKind]Count, len(c.counts))
	for kind, count := range c.counts {
		counts[kind] = Count{Needed: count.needed.Load(), Wasted: count.wasted.Load()}
	}
	return counts
}
