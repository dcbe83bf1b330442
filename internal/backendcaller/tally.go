package backendcaller

import "sync/atomic"

// Kind says what a message to or from a backend server is.
type Kind string

// The kinds of messages.
const (
	HelloMessage      Kind = "hello" // and its answer, one of each a connection
	StartMessage      Kind = "start"
	ResultMessage     Kind = "result"
	RefusalMessage    Kind = "refusal"
	StopMessage       Kind = "stop"
	QueryMessage      Kind = "query"
	UsageMessage      Kind = "usage"
	ThrottleMessage   Kind = "throttle"
	CheckpointMessage Kind = "checkpoint"
)

// Kinds are all kinds of messages.
var Kinds = []Kind{
	HelloMessage, StartMessage, ResultMessage, RefusalMessage, StopMessage,
	QueryMessage, UsageMessage, ThrottleMessage, CheckpointMessage,
}

// Count counts messages by whether they contribute to an answer. Requests and
// answers count as one message each; the answer to a start is a result or a
// refusal.
type Count struct {
	Needed uint64 `json:"needed"`
	Wasted uint64 `json:"wasted"`
}

// tally counts messages by kind.
type tally struct {
	counts map[Kind]*atomicCount // fixed after newTally
}

type atomicCount struct {
	needed atomic.Uint64
	wasted atomic.Uint64
}

func newTally() *tally {
	t := &tally{counts: make(map[Kind]*atomicCount, len(Kinds))}
	for _, kind := range Kinds {
		t.counts[kind] = &atomicCount{}
	}
	return t
}

func (t *tally) need(kind Kind, n uint64) {
	t.counts[kind].needed.Add(n)
}

func (t *tally) waste(kind Kind, n uint64) {
	t.counts[kind].wasted.Add(n)
}

func (t *tally) snapshot() map[Kind]Count {
	counts := make(map[Kind]Count, len(t.counts))
	for kind, c := range t.counts {
		counts[kind] = Count{Needed: c.needed.Load(), Wasted: c.wasted.Load()}
	}
	return counts
}
