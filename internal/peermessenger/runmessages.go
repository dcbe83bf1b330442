package peermessenger

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// RunTask asks the owner of backend servers to run a task on one of them.
type RunTask struct {
	Run        identifier.RunRef      `cbor:"1,keyasint"`
	Pool       identifier.PoolID      `cbor:"2,keyasint"`
	Spec       string                 `cbor:"3,keyasint"`
	Millicores identifier.Millicores  `cbor:"4,keyasint"`
	Memory     identifier.Mebibytes   `cbor:"5,keyasint"`
	Estimate   time.Duration          `cbor:"6,keyasint"`  // of its run time
	Priority   int                    `cbor:"7,keyasint"`  // 0 goes first
	Objective  time.Duration          `cbor:"8,keyasint"`  // left until the job is late
	Avoid      []identifier.BackendID `cbor:"9,keyasint"`  // servers where earlier runs failed
	Moves      int                    `cbor:"10,keyasint"` // earlier runs that were stopped by their owner
}

// TaskPlaced tells the home of a job that a server has started a run.
type TaskPlaced struct {
	Run     identifier.RunRef       `cbor:"1,keyasint"`
	Backend identifier.BackendID    `cbor:"2,keyasint"`
	Token   identifier.FencingToken `cbor:"3,keyasint"` // by which the sender owns the server, or owned it
}

// RunEnding says how a run ended.
type RunEnding uint8

// The endings of a run.
const (
	RunDone       RunEnding = iota + 1 // the task ended well
	RunFailed                          // by its own fault or its server's
	RunStopped                         // by an order or a lapsed lease, before its end
	RunNotStarted                      // no server has started it, and none will
	RunRejected                        // a server called the task invalid
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

// TaskEnded tells the home of a job how a run ended. The run doesn't go on
// anywhere.
type TaskEnded struct {
	Run     identifier.RunRef    `cbor:"1,keyasint"`
	Backend identifier.BackendID `cbor:"2,keyasint"` // empty when it was never placed
	Ending  RunEnding            `cbor:"3,keyasint"`
	Elapsed time.Duration        `cbor:"4,keyasint"` // of the run
	Cause   string               `cbor:"5,keyasint"` // for logs
}

// CancelRuns tells the owner that nobody waits for runs any more.
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
	Backend    identifier.BackendID  `cbor:"6,keyasint"` // where its home knows it to be; empty: nowhere yet
}

// ClaimRuns asks an owner to keep runs that an earlier owner, or an earlier
// link, was asked for. The owner answers TaskPlaced or TaskEnded for each. What a
// lost link has swallowed is made good by it, cancellations included.
type ClaimRuns struct {
	Backend identifier.BackendID `cbor:"1,keyasint"` // the server that the receiver took over; empty: the sender waits for no other run of the receiver
	Runs    []ClaimedRun         `cbor:"2,keyasint"`
}

// ServerReleased hands a backend server over to its next owner.
type ServerReleased struct {
	Backend identifier.BackendID    `cbor:"1,keyasint"`
	Token   identifier.FencingToken `cbor:"2,keyasint"` // the highest that the sender used
}

// ServerLoad is what an owner says of one of its backend servers.
type ServerLoad struct {
	Backend   identifier.BackendID    `cbor:"1,keyasint"`
	Token     identifier.FencingToken `cbor:"2,keyasint"`
	Free      identifier.Millicores   `cbor:"3,keyasint"` // 0 while the server takes no work
	FreeMemMB identifier.Mebibytes    `cbor:"4,keyasint"`
	Usable    bool                    `cbor:"5,keyasint"` // it takes work, now or when runs end
}

// QueuedWork is the work that waits at an owner, by priority; the last entry
// also holds all lower priorities. Its unit is millicores times milliseconds.
type QueuedWork [4]int64

// LoadReport is an owner's heartbeat.
type LoadReport struct {
	Sequence      uint64       `cbor:"1,keyasint"`
	Draining      bool         `cbor:"2,keyasint"`
	Weight        int          `cbor:"3,keyasint"` // share of servers that the VM can carry, in thousandths of a core
	Servers       []ServerLoad `cbor:"4,keyasint"`
	Queued        QueuedWork   `cbor:"5,keyasint"`
	RoutesVersion uint64       `cbor:"6,keyasint"`
	ServersSeen   uint64       `cbor:"7,keyasint"` // revision of the list of backend servers

	Next time.Duration `cbor:"8,keyasint"` // until the next report, at the latest
}

// DirectoryCopy hands the sender's knowledge of routes and backend servers to a
// peer that knows older ones. Either may be empty.
type DirectoryCopy struct {
	Routes      []byte `cbor:"1,keyasint"` // encoded by the router package
	Servers     []byte `cbor:"2,keyasint"` // encoded by the serverlister package
	ServersSeen uint64 `cbor:"3,keyasint"`
}

func (RunTask) isPeerMessage()        {}
func (TaskPlaced) isPeerMessage()     {}
func (TaskEnded) isPeerMessage()      {}
func (CancelRuns) isPeerMessage()     {}
func (ClaimRuns) isPeerMessage()      {}
func (ServerReleased) isPeerMessage() {}
func (LoadReport) isPeerMessage()     {}
func (DirectoryCopy) isPeerMessage()  {}
