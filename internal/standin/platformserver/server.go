// Package platformserver is a small stand-in for the platform's service: a
// key-value service with compare-and-swap, leases and watches, and a lagging
// list of VMs, over HTTP. Its faults are set at run time.
package platformserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Options are the options of a Server.
type Options struct {
	WatchBound time.Duration // how long a watch waits; 0 means platformcaller.DefaultMaxWatchWait
	ListLag    time.Duration // how far the list of VMs lags behind
	Seed       uint64        // of the random faults
}

// Server serves the stand-in over HTTP. New returns one; the zero value is not
// usable.
type Server struct {
	service *platformcaller.FakeService
	http    *http.Server
}

// New returns a Server with no keys, leases and VMs.
func New(opts Options) *Server {
	s := &Server{service: platformcaller.NewFakeService(platformcaller.FakeOptions{
		MaxWatchWait: opts.WatchBound,
		ListLag:      opts.ListLag,
		Seed:         opts.Seed,
	})}
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	return s
}

// Memory returns the in-memory service behind the server, where its faults and its
// list of VMs can be set.
func (s *Server) Memory() *platformcaller.FakeService {
	return s.service
}

// Serve serves the connections that l accepts until Close.
func (s *Server) Serve(l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serving the platform's stand-in") }()
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close fails the watches that wait, closes all listeners and idle connections,
// and waits for the requests in progress. After shutdownTimeout it closes the
// connections that are left.
func (s *Server) Close() error {
	s.service.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(s.http.Close(), "closing the platform's stand-in")
	}
	return nil
}

// Handler returns the handler of the platform's protocol and of its faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", s.getKey)
	mux.HandleFunc("PUT /v1/keys/{key...}", s.putKey)
	mux.HandleFunc("POST /v1/leases", s.postLease)
	mux.HandleFunc("POST /v1/leases/{lease}/keepalive", s.postKeepAlive)
	mux.HandleFunc("DELETE /v1/leases/{lease}", s.deleteLease)
	mux.HandleFunc("GET /v1/vms", s.getVMs)
	mux.HandleFunc("POST /v1/vms", s.postVMs)
	mux.HandleFunc("DELETE /v1/vms", s.deleteVMs)
	mux.HandleFunc("GET /v1/counters", s.getCounters)
	mux.HandleFunc("GET /v1/faults", s.getFaults)
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}
