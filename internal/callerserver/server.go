// Package callerserver serves peppertrack's own API for callers, JSON over HTTP under
// /v1/jobs. The front end of package platform serves the callers of the users'
// platform instead.
package callerserver

import (
	"net/http"
)

// Server is the HTTP handler of the callers' API.
type Server struct {
	opts         Options
	mux          *http.ServeMux
	openRequests chan struct{} // semaphore of MaxRequests
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{
		opts:         opts,
		mux:          http.NewServeMux(),
		openRequests: make(chan struct{}, opts.MaxRequests),
	}
	s.mux.HandleFunc("POST /v1/jobs", s.limitOpenRequests(s.submit))
	s.mux.HandleFunc("DELETE /v1/jobs/{id}", s.limitOpenRequests(s.cancel))
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.limitOpenRequests(s.fetch))
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	if opts.Metrics != nil {
		s.mux.Handle("GET /debug/vars", opts.Metrics)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(domainHeader, string(s.opts.Domain))
	s.mux.ServeHTTP(w, r)
}

// limitOpenRequests refuses a request while MaxRequests others are open.
func (s *Server) limitOpenRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.openRequests <- struct{}{}:
		default:
			writeError(w, &BusyError{RetryAfter: busyRetryAfter})
			return
		}
		defer func() { <-s.openRequests }()
		next(w, r)
	}
}
