// Package operatorserver serves the operators' HTTP API below /v1/control/, and
// holds its client.
//
// Commands write to the store. Queries are answered from the book of profiles
// that is in force on the VM that receives them.
package operatorserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/burnreporter"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

// Bounds of a request.
const (
	maxBodySize         = 4 << 20          // bytes
	commandTimeout      = 20 * time.Second // of a change, all attempts at the store included
	queryTimeout        = 10 * time.Second
	inForceTimeout      = time.Second          // for an accepted change to be in force on the VM that made it
	inForcePollInterval = 5 * time.Millisecond // between two reads of the book's version
)

const pathPrefix = "/v1/control/"

// Authenticator returns the name of the operator whose token an Authorization
// header holds.
type Authenticator interface {
	Operator(header string) (string, error)
}

// Writer writes changes to the store.
type Writer interface {
	Write(ctx context.Context, r profilekeeper.Request) (profilekeeper.Acceptance, error)
}

// StatusSource reports which version of the profiles is in force on every known
// VM.
type StatusSource interface {
	// Status returns one entry for each VM, unreachable ones included, sorted by
	// VM name.
	Status(ctx context.Context) ([]VMStatus, error)
}

// BurnSource reports how fast the error budgets of all profiles are used up.
type BurnSource interface {
	// Burn returns the merged report of all entry VMs that can be reached. The
	// report names the others.
	Burn(ctx context.Context) (burnreporter.Report, error)
}

// Options configure the server.
type Options struct {
	Authenticator Authenticator
	Writer        Writer
	Book          func() profilekeeper.Book // in force on this VM
	Status        StatusSource
	Burn          BurnSource
	Logger        log.Logger
}

// server serves the operators' API.
type server struct{ opts Options }

// New returns the handler of the operators' API.
func New(opts Options) http.Handler {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	s := &server{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPrefix+"changes", s.command(s.change))
	mux.HandleFunc("GET "+pathPrefix+"profiles", s.query(s.profiles))
	mux.HandleFunc("GET "+pathPrefix+"profiles/{name}", s.query(s.profile))
	mux.HandleFunc("GET "+pathPrefix+"history", s.query(s.history))
	mux.HandleFunc("GET "+pathPrefix+"tokens", s.query(s.tokens))
	mux.HandleFunc("GET "+pathPrefix+"evacuations", s.query(s.evacuations))
	mux.HandleFunc("GET "+pathPrefix+"status", s.query(s.status))
	mux.HandleFunc("GET "+pathPrefix+"burn", s.query(s.burn))
	mux.HandleFunc("GET "+pathPrefix+"handover", s.query(s.handover))
	mux.HandleFunc(pathPrefix, s.query(func(context.Context, string, *http.Request) (any, error) {
		return nil, &noSuchPathError{}
	}))
	return mux
}

// handler serves an operator's request and returns the value to answer as JSON.
type handler func(ctx context.Context, operator string, r *http.Request) (any, error)

func (s *server) command(h handler) http.HandlerFunc { return s.handle(commandTimeout, h) }
func (s *server) query(h handler) http.HandlerFunc   { return s.handle(queryTimeout, h) }

// handle authenticates the operator, bounds the request's time and body, and
// sends the handler's answer or error.
func (s *server) handle(timeout time.Duration, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.opts.Authenticator.Operator(r.Header.Get("Authorization"))
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodySize)
		answer, err := h(ctx, operator, r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		s.writeJSON(w, http.StatusOK, answer)
	}
}

func (s *server) writeJSON(w http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		s.opts.Logger.Log("level", "error", "msg", "encoding an answer", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // the client may be gone
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, body := errorAnswer(err)
	s.opts.Logger.Log("level", "info", "msg", "request refused", "path", r.URL.Path, "cause", body.Error.Cause, "err", err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	s.writeJSON(w, status, body)
}

// decode reads a body that holds one JSON value without unknown fields.
func decode(r *http.Request, into any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &badBodyError{err: err}
	}
	if d.More() {
		return &badBodyError{err: errors.New("more than one JSON value")}
	}
	return nil
}
