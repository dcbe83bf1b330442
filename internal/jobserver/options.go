package jobserver

import (
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/repeater"
)

// Options configure a Server.
type Options struct {
	Self        identifier.Member
	Domain      identifier.FailureDomain
	Weight      int      // share of the backend servers, in thousandths of a core
	PeerAddress string   // where peers link to
	Seeds       []string // addresses of some peers
	Bounds      repeater.Bounds
	Orderer     Orderer
	Logger      log.Logger
}

const (
	// eventCapacity bounds the events that wait for the state machine.
	eventCapacity = 8192
	// tickInterval is how often time passes for the state machine.
	tickInterval = 40 * time.Millisecond
	// pauseBound is the gap between two turns of the loop beyond which this VM
	// has been paused: several ticks, and under half the time that peers wait.
	pauseBound = 180 * time.Millisecond
	// startTimeout bounds an order to start: a link's round trip between failure
	// domains, many times, and no more than a short job can wait.
	startTimeout = 100 * time.Millisecond
	// stopTimeout bounds an order to stop: its own work of up to 50 ms besides.
	stopTimeout = 250 * time.Millisecond
	// lookSlack is added to the wait of a look.
	lookSlack = 200 * time.Millisecond
)
