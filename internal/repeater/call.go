package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// CallID identifies one call to a backend server.
type CallID uint64

// ServerTime is a time on a backend server's own clock, in nanoseconds.
type ServerTime time.Duration

// ServerClock is the clock and generation of the server that sent an answer.
type ServerClock struct {
	Known      bool // the answer had these fields
	Now        ServerTime
	Generation identifier.Generation // 0: not in the answer
}

// StartResult is the outcome of a StartRun.
type StartResult uint8

// The outcomes of a StartRun.
const (
	StartAccepted    StartResult = iota + 1 // the run is there
	StartNoRoom                             // the server has no room for it
	StartFenced                             // the token is too low
	StartSuperseded                         // a run with the same or a higher number was stopped or ended there
	StartExpired                            // the call arrived after its expiry
	StartUnhealthy                          // the server accepts no work at present
	StartInvalid                            // the server rejects the call as malformed
	StartWrongServer                        // another process answers at the address
	StartNoTicket                           // the pool requires a ticket from the platform's advice service, and the start has none
	StartUnanswered                         // it may have been carried out, or will be
	StartNotSent                            // no connection to the server could be made
)

// String returns the outcome in the form that logs show.
func (r StartResult) String() string {
	names := [...]string{"", "accepted", "noRoom", "fenced", "superseded", "expired", "unhealthy", "invalid", "wrongServer", "noTicket", "unanswered", "notSent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// StopResult is the outcome of a StopRun.
type StopResult uint8

// The outcomes of a StopRun.
const (
	StopAccepted    StopResult = iota + 1 // the run ends soon, or can't start any more
	StopFenced                            // the token is too low
	StopWrongServer                       // another process answers at the address
	StopUnanswered                        // it may have been carried out, or will be
)

// PollStatus is the outcome of a Poll.
type PollStatus uint8

// The outcomes of a Poll.
const (
	PollOK PollStatus = iota + 1
	PollFenced
	PollWrongServer
	PollUnanswered
	PollRefused // nothing listens at the server's address
)

// ActiveRun is a run that is active at a server.
type ActiveRun struct {
	Run      identifier.RunRef
	Progress float64 // 0 to 1; the server's estimate of the work done
}

// EndedRun is a run that has ended at a server.
type EndedRun struct {
	Sequence uint64 // of the end, from 1 in each generation
	Run      identifier.RunRef
	Ending   RunEndKind
}

// RunEndKind is the way a run ended, as a server lists it.
type RunEndKind uint8

// The ends that a server lists.
const (
	EndDone RunEndKind = iota + 1
	EndFailed
	EndStopped
	EndLapsed
	EndOther
)

// PollResult is a server's answer about its runs.
type PollResult struct {
	Status PollStatus
	Active []ActiveRun
	Ended  []EndedRun
}
