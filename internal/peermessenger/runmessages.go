package peermessenger

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/pairmeter"
)

// RunTask asks the owner of backend servers to run a task on one of them.
type RunTask struct {
	Run         identifier.RunRef      `cbor:"1,keyasint"`
	Pool        identifier.PoolID      `cbor:"2,keyasint"`
	Spec        string                 `cbor:"3,keyasint"`
	Millicores  identifier.Millicores  `cbor:"4,keyasint"`
	Memory      identifier.Mebibytes   `cbor:"5,keyasint"`
	Estimate    time.Duration          `cbor:"6,keyasint"`  // of the run time
	Priority    int                    `cbor:"7,keyasint"`  // 0 is the highest
	Objective   time.Duration          `cbor:"8,keyasint"`  // time left until the job's objective
	Avoid       []identifier.BackendID `cbor:"9,keyasint"`  // servers on which earlier runs failed
	StoppedRuns int                    `cbor:"10,keyasint"` // earlier runs of the task that were stopped or lost, for any reason

	Alone bool `cbor:"11,keyasint,omitempty"` // only on a server that runs nothing else

	Returns int `cbor:"12,keyasint,omitempty"` // how often owners have returned it for want of room
	// Grace is set once an owner has returned the task because the objective has passed. For
	// this long after the objective it comes after all other tasks, and then before them.
	Grace time.Duration `cbor:"13,keyasint,omitempty"`

	Kind pairmeter.Kind `cbor:"14,keyasint,omitempty"` // 0: the home doesn't measure pairs
}

// TaskPlaced tells the home of a job that a server has started a run.
type TaskPlaced struct {
	Run     identifier.RunRef       `cbor:"1,keyasint"`
	Backend identifier.BackendID    `cbor:"2,keyasint"`
	Token   identifier.FencingToken `cbor:"3,keyasint"` // with which the sender owns the server, or owned it
}

// RunEnding says how a run ended.
type RunEnding uint8

// The endings of a run.
const (
	RunDone       RunEnding = iota + 1 // the task succeeded
	RunFailed                          // the task or its server failed
	RunStopped                         // stopped before its end, by an order or because its lease lapsed
	RunNotStarted                      // no server has started the task, and none will
	RunRejected                        // a server rejected the task as invalid
)

// String returns the ending as logs show it.
func (e RunEnding) String() string {
	switch e {
	case RunDone:
		return "done"
	case RunFailed:
		return "failed"
	case RunStopped:
		return "stopped"
	case RunNotStarted:
		return "notStarted"
	case RunRejected:
		return "rejected"
	}
	return "unknown"
}

// TaskEnded tells the home of a job how a run ended. The run no longer runs on
// any server.
type TaskEnded struct {
	Run     identifier.RunRef    `cbor:"1,keyasint"`
	Backend identifier.BackendID `cbor:"2,keyasint"` // empty: the run was never placed
	Ending  RunEnding            `cbor:"3,keyasint"`
	Elapsed time.Duration        `cbor:"4,keyasint"` // of the run
	Cause   string               `cbor:"5,keyasint"` // for logs

	Loss *LostRun `cbor:"6,keyasint,omitempty"` // set if the run was lost with its server
}

// CancelRuns tells an owner that the results of runs are no longer needed.
type CancelRuns struct {
	Runs []identifier.RunRef `cbor:"1,keyasint"`
}

// ClaimedRun is a run that its job's home still waits for.
type ClaimedRun struct {
	Run        identifier.RunRef     `cbor:"1,keyasint"`
	Millicores identifier.Millicores `cbor:"2,keyasint"`
	Memory     identifier.Mebibytes  `cbor:"3,keyasint"`
	Estimate   time.Duration         `cbor:"4,keyasint"`
	Priority   int                   `cbor:"5,keyasint"`
	Backend    identifier.BackendID  `cbor:"6,keyasint"` // on which the home knows it to run; empty: not known to be placed
}

// ClaimRuns asks an owner to keep runs that were requested from an earlier owner
// or over an earlier link. The owner answers TaskPlaced or TaskEnded for each.
// This makes up for messages that were lost with a link, cancellations included.
type ClaimRuns struct {
	Backend identifier.BackendID `cbor:"1,keyasint"` // the server that the receiver took over; empty: the sender waits for no other run of the receiver
	Runs    []ClaimedRun         `cbor:"2,keyasint"`
}

// ServerReleased tells the next owner of a backend server that the sender has
// given it up.
type ServerReleased struct {
	Backend identifier.BackendID    `cbor:"1,keyasint"`
	Token   identifier.FencingToken `cbor:"2,keyasint"` // the highest token that the sender used
}

// ServerLoad is the free capacity of one backend server, as its owner reports it.
type ServerLoad struct {
	Backend    identifier.BackendID    `cbor:"1,keyasint"`
	Token      identifier.FencingToken `cbor:"2,keyasint"`
	Free       identifier.Millicores   `cbor:"3,keyasint"` // 0 while the server takes no work
	FreeMemory identifier.Mebibytes    `cbor:"4,keyasint"`
	Usable     bool                    `cbor:"5,keyasint"`           // the server takes work, now or when runs end
	Pace       int                     `cbor:"6,keyasint,omitempty"` // how long tasks take there in relation to their estimates, in percent; 0: as usual
}

// QueuedWork is the work queued at an owner, by priority, in millicores times
// milliseconds. The last entry also holds all lower priorities.
type QueuedWork [4]int64

// LoadReport is an owner's heartbeat, with the load of its backend servers.
type LoadReport struct {
	Sequence        uint64       `cbor:"1,keyasint"`
	Draining        bool         `cbor:"2,keyasint"`
	Weight          int          `cbor:"3,keyasint"` // the VM's share of the backend servers, in thousandths of a core
	Servers         []ServerLoad `cbor:"4,keyasint"`
	Queued          QueuedWork   `cbor:"5,keyasint"`
	RoutesVersion   uint64       `cbor:"6,keyasint"`
	ServersRevision uint64       `cbor:"7,keyasint"` // revision of the list of backend servers

	Next time.Duration `cbor:"8,keyasint"` // longest time until the next report

	ServersAge time.Duration `cbor:"11,keyasint,omitempty"` // since the store confirmed the sender's list of backend servers; 0: it has not

	Pairs []pairmeter.Pair `cbor:"14,keyasint,omitempty"` // kinds of tasks that disturb each other, as the sender has measured

	EvacuationsRevision uint64                     `cbor:"12,keyasint,omitempty"` // of Evacuated; 0: the sender knows of no evacuation
	Evacuated           []identifier.FailureDomain `cbor:"13,keyasint,omitempty"` // failure domains whose servers get no new tasks

	Losses    []LostRun `cbor:"9,keyasint,omitempty"`  // that the sender has learned of lately
	Isolating int       `cbor:"10,keyasint,omitempty"` // tasks that run alone on the sender's servers or wait for that
}

// DirectoryCopy sends the routes and the list of backend servers to a peer that
// has older ones. Either may be empty.
type DirectoryCopy struct {
	Routes          []byte `cbor:"1,keyasint"` // encoded by package router
	Servers         []byte `cbor:"2,keyasint"` // encoded by repeater.EncodeServers
	ServersRevision uint64 `cbor:"3,keyasint"` // revision of the list of backend servers
}

func (RunTask) isPeerMessage()        {}
func (TaskPlaced) isPeerMessage()     {}
func (TaskEnded) isPeerMessage()      {}
func (CancelRuns) isPeerMessage()     {}
func (ClaimRuns) isPeerMessage()      {}
func (ServerReleased) isPeerMessage() {}
func (LoadReport) isPeerMessage()     {}
func (DirectoryCopy) isPeerMessage()  {}
