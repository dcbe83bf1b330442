package backendcaller

import "sync/atomic"

// Kind is the kind of a message to or from a backend server.
type Kind string

// The kinds of messages.
const (
	HelloMessage      Kind = "hello" // and its answer, one of each per connection
	StartMessage      Kind = "start"
	ResultMessage     Kind = "result"
	RefusalMessage    Kind = "refusal"
	StopMessage       Kind = "stop"
	QueryMessage      Kind = "query"
	UsageMessage      Kind = "usage"
	ThrottleMessage   Kind = "throttle"
	CheckpointMessage Kind = "checkpoint"
)

// Kinds lists all kinds of messages.
var Kinds = []Kind{
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
	counts map[Kind]*atomicCount // not changed after newCounters
}

type atomicCount struct {
	needed atomic.Uint64
	wasted atomic.Uint64
}

func newCounters() *counters {
	c := &counters{counts: make(map[Kind]*atomicCount, len(Kinds))}
	for _, kind := range Kinds {
		c.counts[kind] = &atomicCount{}
	}
	return c
}

func (c *counters) countNeeded(kind Kind, n uint64) {
	c.counts[kind].needed.Add(n)
}

func (c *counters) countWasted(kind Kind, n uint64) {
	c.counts[kind].wasted.Add(n)
}

func (c *counters) snapshot() map[Kind]Count {
	counts := make(map[Kind]Count, len(c.counts))
	for kind, count := range c.counts {
		counts[kind] = Count{Needed: count.needed.Load(), Wasted: count.wasted.Load()}
	}
	return counts
}
