// Package callerserver serves the callers' API over HTTP and JSON.
package callerserver

import (
	"net/http"
)

// Server is the handler of the callers' API.
type Server struct {
	opts Options
	mux  *http.ServeMux
	open chan struct{} // a place for each open request
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{
		opts: opts,
		mux:  http.NewServeMux(),
		open: make(chan struct{}, opts.MaxRequests),
	}
	s.mux.HandleFunc("POST /v1/jobs", s.bounded(s.submit))
	s.mux.HandleFunc("DELETE /v1/jobs/{id}", s.bounded(s.cancel))
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.bounded(s.fetch))
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	if opts.Metrics != nil {
		s.mux.Handle("GET /debug/vars", opts.Metrics)
	}
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(domainHeader, string(s.opts.Domain))
	s.mux.ServeHTTP(w, r)
}

// bounded refuses a request when too many are open.
func (s *Server) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.open <- struct{}{}:
		default:
			writeError(w, &BusyError{RetryAfter: busyRetryAfter})
			return
		}
		defer func() { <-s.open }()
		next(w, r)
	}
}
