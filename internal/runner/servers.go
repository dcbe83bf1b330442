package runner

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/callerserver"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
)

// serve starts the HTTP servers.
func (r *Runner) serve() {
	r.serveOn(r.listeners.callers, r.callersHandler())
	r.serveOn(r.listeners.operators, r.operatorsHandler())
	r.serveOn(r.listeners.peers, r.linker.Handler())
}

func (r *Runner) serveOn(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: serverHeaderTimeout}
	r.servers = append(r.servers, server)
	r.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serving on %s", l.Addr())
		}
		return nil
	})
}

// closeServers shuts the servers down. Open requests have shutdownHTTPTimeout to
// end.
func (r *Runner) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownHTTPTimeout)
	defer cancel()
	for _, server := range r.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close() // aborts the requests that are still open
		}
	}
}

func (r *Runner) callersHandler() http.Handler {
	c := r.opts.Settings.Callers
	return callerserver.New(callerserver.Options{
		Dispatcher:   r.requests,
		Authenticate: r.authenticate,
		Domain:       r.opts.Settings.FailureDomain,
		MaxBodyBytes: c.MaxBodyBytes,
		MaxTasks:     c.MaxTasks,
		MaxRequests:  c.MaxRequests,
		MaxWait:      c.MaxWait,
		Ready:        r.Ready,
		Metrics:      r.metricsHandler(),
		Logger:       r.opts.Logger,
	})
}

// Ready reports whether new requests should be sent here: the roster in force
// contains this process, which knows the profiles in force and a backend server,
// and is not shutting down.
func (r *Runner) Ready() bool {
	return r.joined.Load() && !r.draining.Load() && r.knowsProfiles() && r.knowsBackends.Load()
}

func (r *Runner) authenticate(request *http.Request) (identifier.Team, error) {
	return r.auth.Caller(request.Header.Get("Authorization"))
}

func (r *Runner) newAuthenticator() (*authenticator.Authenticator, error) {
	opts := authenticator.Options{AuthenticationOff: !r.opts.Settings.Callers.RequireTokens}
	if hash := r.opts.Settings.Operators.BootstrapTokenHash; hash != "" {
		if err := opts.BootstrapHash.UnmarshalText([]byte(hash)); err != nil {
			return nil, errors.Wrap(err, "operators.bootstrapTokenHash")
		}
	}
	return authenticator.New(opts), nil
}

// updateJoined records whether the roster in force contains this process.
func (r *Runner) updateJoined(roster *enroller.Roster) {
	_, ok := roster.Find(r.self)
	r.joined.Store(ok)
}

func (r *Runner) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", r.metricsHandler())
	mux.Handle("/", operatorserver.New(operatorserver.Options{
		Authenticator: r.auth,
		Writer:        r.writer,
		Book:          r.follower.Book,
		Status:        statusSource{r},
		Burn:          burnSource{r},
		Logger:        r.opts.Logger,
	}))
	return mux
}
