package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is an action that a Machine asks its caller to carry out.
type Effect interface{ isEffect() }

// Reply answers a caller.
type Reply struct {
	Request RequestID
	Outcome Outcome
}

// RouteReply answers a RouteRequested.
type RouteReply struct {
	Request  RequestID
	Decision RouteDecision
}

// ReadinessReply answers a ReadinessRequested.
type ReadinessReply struct {
	Request RequestID
	Ready   bool
}

// ReadRoutes asks for a read of the routes in the store that begins now. It is
// answered by RoutesChanged, if they are later ones, and RoutesConfirmed.
type ReadRoutes struct{}

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

// KeepLinks says which VMs this one needs links to: all that it learns of, or some of
// those that the store lists. Links that the other VM needs are kept, too.
type KeepLinks struct {
	All bool
	VMs []identifier.VMID // sorted
}

// StartRun tells a backend server to start a run.
type StartRun struct {
	Call    CallID
	Server  Server
	Token   identifier.FencingToken
	Run     identifier.RunRef
	Spec    string
	Expires ServerTime // of the call, and of the server's lease
	Timeout time.Duration
}

// StopRun tells a backend server to stop a run, or never to start it.
type StopRun struct {
	Call   CallID
	Server Server
	Token  identifier.FencingToken
	Run    identifier.RunRef

	Timeout time.Duration
}

// Poll asks a backend server for its runs. The answer waits for the next end for
// up to Wait.
type Poll struct {
	Call        CallID
	Server      Server
	Token       identifier.FencingToken
	Expires     ServerTime // of the server's lease; 0: it is not extended
	LastSeenEnd uint64     // the owner has seen the ends up to this number
	Wait        time.Duration
	Timeout     time.Duration
}

// LogDecision logs a decision and its inputs.
type LogDecision struct {
	Decision string
	Fields   []any // alternating keys and values
}

// Drained reports that no server is left to hand over and no job to answer.
type Drained struct{}

func (Reply) isEffect()          {}
func (RouteReply) isEffect()     {}
func (ReadinessReply) isEffect() {}
func (ReadRoutes) isEffect()     {}
func (SendMessage) isEffect()    {}
func (Broadcast) isEffect()      {}
func (KeepLinks) isEffect()      {}
func (StartRun) isEffect()       {}
func (StopRun) isEffect()        {}
func (Poll) isEffect()           {}
func (LogDecision) isEffect()    {}
func (Drained) isEffect()        {}
