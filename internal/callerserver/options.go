package callerserver

import (
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configures a Server.
type Options struct {
	Dispatcher   Dispatcher
	Authenticate func(r *http.Request) (identifier.Team, error) // fails with the errors of package authenticator
	Domain       identifier.FailureDomain
	MaxBodyBytes int64
	MaxTasks     int           // of one job
	MaxRequests  int           // open at one time
	MaxWait      time.Duration // of a fetch
	Ready        func() bool   // reports whether the balancer may send requests
	Metrics      http.Handler  // serves /debug/vars
	Logger       log.Logger
}
