package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/evacuator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/router"
)

// RequestID identifies one open request of a caller at this VM.
type RequestID uint64

// Event is an input of a Machine.
type Event interface{ isEvent() }

// RouteRequested asks for the route of a caller's request.
type RouteRequested struct {
	Request    RequestID
	Host, Path string
}

// ReadinessRequested asks whether the VM can serve new callers.
type ReadinessRequested struct{ Request RequestID }

// JobSubmitted delivers a caller's request to run a job.
type JobSubmitted struct {
	Request RequestID
	Job     Job
}

// RequestAbandoned reports that a caller has left before its answer.
type RequestAbandoned struct{ Request RequestID }

// PeerLinked reports that messages can be sent to a peer.
type PeerLinked struct {
	Peer   identifier.Member
	Domain identifier.FailureDomain
}

// PeerUnlinked reports that messages to a peer may have been lost.
type PeerUnlinked struct {
	Peer     identifier.Member
	Unneeded bool // the link was given up because neither VM needs it
}

// PeerMessage delivers a message from a peer.
type PeerMessage struct {
	From    identifier.Member
	Domain  identifier.FailureDomain
	Message peermessenger.Message
}

// RoutesChanged delivers a routing table. One that is not newer than the table
// in force is ignored.
type RoutesChanged struct{ Table *router.Table }

// RoutesConfirmed reports that the store had no routes at AsOf that are later than
// those delivered before this event.
type RoutesConfirmed struct{ AsOf time.Time }

// ServersChanged delivers the backend servers that the store lists at a revision.
type ServersChanged struct {
	Revision uint64
	Servers  []Server
}

// ServersConfirmed reports that the store had no later list of backend servers at AsOf
// than those delivered before this event.
type ServersConfirmed struct{ AsOf time.Time }

// EvacuationsChanged delivers the failure domains that the store lists as evacuated. One of
// a revision before the list in force is ignored.
type EvacuationsChanged struct{ List evacuator.List }

// VMsListed delivers the VMs that the store lists, this one included.
type VMsListed struct{ VMs []ListedVM }

// ListedVM is an entry VM as the store lists it.
type ListedVM struct {
	ID     identifier.VMID
	Domain identifier.FailureDomain
	Weight int // as in Options
}

// StartAnswered delivers the outcome of StartRun.
type StartAnswered struct {
	Call   CallID
	Result StartResult
	Clock  ServerClock
}

// StopAnswered delivers the outcome of StopRun.
type StopAnswered struct {
	Call   CallID
	Result StopResult
	Clock  ServerClock
}

// PollAnswered delivers the outcome of Poll.
type PollAnswered struct {
	Call   CallID
	Result PollResult
	Clock  ServerClock
}

// Ticked reports that time has passed. It comes at least every 50 ms.
type Ticked struct{}

// Resumed reports that this VM was paused.
type Resumed struct{ Gap time.Duration }

// DrainStarted asks the Machine to hand over all servers, and to finish when no
// job is open.
type DrainStarted struct{}

func (RouteRequested) isEvent()     {}
func (ReadinessRequested) isEvent() {}
func (JobSubmitted) isEvent()       {}
func (RequestAbandoned) isEvent()   {}
func (PeerLinked) isEvent()         {}
func (PeerUnlinked) isEvent()       {}
func (PeerMessage) isEvent()        {}
func (RoutesChanged) isEvent()      {}
func (RoutesConfirmed) isEvent()    {}
func (ServersChanged) isEvent()     {}
func (ServersConfirmed) isEvent()   {}
func (EvacuationsChanged) isEvent() {}
func (VMsListed) isEvent()          {}
func (StartAnswered) isEvent()      {}
func (StopAnswered) isEvent()       {}
func (PollAnswered) isEvent()       {}
func (Ticked) isEvent()             {}
func (Resumed) isEvent()            {}
func (DrainStarted) isEvent()       {}
