package callerserver

import (
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Server.
type Options struct {
	Dispatcher   Dispatcher
	Authenticate func(r *http.Request) (identifier.Team, error) // fails with the errors of package authenticator
	Domain       identifier.FailureDomain
	MaxBodyBytes int64
	MaxTasks     int
	MaxRequests  int
	MaxWait      time.Duration
	Ready        func() bool
	Metrics      http.Handler // serves /debug/vars
	Logger       log.Logger
}
