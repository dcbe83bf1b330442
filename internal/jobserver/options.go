package jobserver

import (
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/repeater"
)

// Options configure a Server.
type Options struct {
	Self          identifier.Member
	Domain        identifier.FailureDomain
	Weight        int      // as in repeater.Options
	PeerAddress   string   // to which peers link
	Seeds         []string // addresses of the peers to link to first
	Bounds        repeater.Bounds
	BackendClient BackendClient
	// ReadRoutes makes the caller read the routes in the store again and report them
	// with SetRoutes and ConfirmRoutes. It must not block. It may be nil.
	ReadRoutes func()
	// ByReportsAlone makes VMs share room by their load reports alone: owners return no
	// tasks, and start late ones in their usual place.
	ByReportsAlone bool
	KeepPairsApart bool // as in repeater.Options
	Logger         log.Logger
}

const (
	// eventCapacity bounds the events queued for the state machine.
	eventCapacity = 8192
	// tickInterval is how often the state machine gets a tick.
	tickInterval = 40 * time.Millisecond
	// pauseThreshold is the gap between two iterations of the event loop above which
	// this VM counts as paused: several ticks, and less than half the time that
	// peers wait.
	pauseThreshold = 180 * time.Millisecond
	// lateAnswerTime is how long the connection of a call to a backend server is kept
	// for an answer that comes after the call's timeout.
	lateAnswerTime = 500 * time.Millisecond
)
