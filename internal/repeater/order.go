package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// OrderID names one call to a backend server.
type OrderID uint64

// ServerTime is a time on a backend server's own clock.
type ServerTime time.Duration

// ServerClock is what an answer says of the server that gave it.
type ServerClock struct {
	Known      bool // the answer had these fields
	Now        ServerTime
	Generation identifier.Generation // 0: not said
}

// StartResult is the outcome of an order to start a run.
type StartResult uint8

// The outcomes of an order to start a run.
const (
	StartAccepted    StartResult = iota + 1 // the run is there
	StartNoRoom                             // the server has no room for it
	StartFenced                             // the token is too low
	StartSuperseded                         // the number isn't above a run that was stopped or ended there
	StartExpired                            // the order arrived after its expiry
	StartUnhealthy                          // the server takes nothing at present
	StartInvalid                            // the server calls the order malformed
	StartWrongServer                        // another process answers at the address
	StartNoTicket                           // the pool wants an advice ticket
	StartUnanswered                         // it may have been carried out, or will be
)

// String returns the outcome as logs show it.
func (r StartResult) String() string {
	names := [...]string{"", "accepted", "noRoom", "fenced", "superseded", "expired", "unhealthy", "invalid", "wrongServer", "noTicket", "unanswered"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// StopResult is the outcome of an order to stop a run.
type StopResult uint8

// The outcomes of an order to stop a run.
const (
	StopAccepted    StopResult = iota + 1 // the run ends soon, and can't start if it wasn't there
	StopFenced                            // the token is too low
	StopWrongServer                       // another process answers at the address
	StopUnanswered                        // it may have been carried out, or will be
)

// LookStatus says whether a look was answered.
type LookStatus uint8

// The outcomes of a look at a server.
const (
	LookOK LookStatus = iota + 1
	LookFenced
	LookWrongServer
	LookUnanswered
)

// RunState is a run that goes on at a server.
type RunState struct {
	Run      identifier.RunRef
	Progress float64 // 0 to 1; what the server guesses of its work done
}

// EndedRun is a run that has ended at a server.
type EndedRun struct {
	Number uint64 // of the end, from 1 in each generation
	Run    identifier.RunRef
	Ending RunEnd
}

// RunEnd says how a server lists the end of a run.
type RunEnd uint8

// The ends that a server lists.
const (
	EndDone RunEnd = iota + 1
	EndFailed
	EndStopped
	EndLapsed
	EndOther
)

// LookResult is what a server says of its runs.
type LookResult struct {
	Status LookStatus
	Active []RunState
	Ended  []EndedRun
}
