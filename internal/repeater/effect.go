package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is what a Machine wants done.
type Effect interface{ isEffect() }

// Reply answers a caller.
type Reply struct {
	Request RequestID
	Outcome Outcome
}

// SendMessage sends a message to a peer.
type SendMessage struct {
	To      identifier.Member
	Message peermessenger.Message
}

// Broadcast sends one message to several peers.
type Broadcast struct {
	To      []identifier.Member
	Message peermessenger.Message
}

// StartRun orders a backend server to start a run.
type StartRun struct {
	Order   OrderID
	Server  Server
	Token   identifier.FencingToken
	Run     identifier.RunRef
	Spec    string
	Expires ServerTime // of the order, and of the lease of all that runs there
}

// StopRun orders a backend server to stop a run, or never to start it.
type StopRun struct {
	Order  OrderID
	Server Server
	Token  identifier.FencingToken
	Run    identifier.RunRef
}

// Look asks a backend server for its runs.
type Look struct {
	Order    OrderID
	Server   Server
	Token    identifier.FencingToken
	Expires  ServerTime // 0: extends no lease
	Observed uint64     // ends up to this number are known
	Wait     time.Duration
}

// Record is a line for the log: a decision with what it was made from.
type Record struct {
	Decision string
	Fields   []any // keys and values
}

// Drained reports that nothing is left to hand over or to answer.
type Drained struct{}

func (Reply) isEffect()       {}
func (SendMessage) isEffect() {}
func (Broadcast) isEffect()   {}
func (StartRun) isEffect()    {}
func (StopRun) isEffect()     {}
func (Look) isEffect()        {}
func (Record) isEffect()      {}
func (Drained) isEffect()     {}
