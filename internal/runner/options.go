package runner

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

// Platform is what the runner needs of the platform.
type Platform interface {
	platformcaller.Store
	platformcaller.Lister
}

// Options configure a Runner.
type Options struct {
	Settings    settingsloader.Settings
	Incarnation identifier.Incarnation // 0: the time of the start
	Logger      log.Logger
	Platform    Platform // nil: a client of the settings' URL
	// Dial connects to peers; nil: TCP. Tests use it to cut links.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// incarnation returns the incarnation of a process that starts now. It must be
// called after the peers' address is bound: then a later incarnation proves that
// the earlier process on the VM has ended.
func (o Options) incarnation() identifier.Incarnation {
	if o.Incarnation != 0 {
		return o.Incarnation
	}
	return identifier.Incarnation(time.Now().UnixNano())
}

const (
	dispatchQueueCapacity = 1 << 14
	rosterQueueCapacity   = 1 << 12
	tickInterval          = 5 * time.Millisecond
	rosterTickInterval    = 100 * time.Millisecond
	serverHeaderTimeout   = 5 * time.Second
	shutdownHTTPTimeout   = 2 * time.Second
	pauseThreshold        = time.Second     // between two steps of the dispatcher; profiles are in force within several seconds
	suspectAfter          = 3 * time.Second // of silence before a member leaves the roster
	busyRetryAfter        = 250 * time.Millisecond
	certificateInterval   = 10 * time.Second
)
