package backendserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

const (
	maxStreams    = 1024 // concurrent HTTP/2 streams of one connection
	headerTimeout = 5 * time.Second
)

// server is one backend server, with its own listener and slots for tasks.
type server struct {
	id      identifier.BackendID
	rack    identifier.RackID
	domain  identifier.FailureDomain
	opts    Options
	auditor *auditor
	stall   atomic.Pointer[stall]
	serving sync.WaitGroup

	mu          sync.Mutex
	address     string
	faults      Faults
	http        *http.Server // nil while dead
	conns       map[*conn]struct{}
	rejected    uint64 // connections over the limit
	table       taskTable
	running     identifier.Slots
	frozenTasks []*task // tasks whose timers fired while the server was frozen
	usage       usageResponse
}

// listen opens a listener at the address and serves its connections.
func (s *server) listen(address string) (err error) {
	defer func() { err = errors.Wrapf(err, "backend server %s", s.id) }()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.conns = make(map[*conn]struct{})
	s.http = s.newHTTPServer()
	hs := s.http
	s.serving.Go(func() {
		_ = hs.Serve(&listener{Listener: l, server: s}) // returns only after Close
	})
	return nil
}

func (s *server) newHTTPServer() *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.handler(),
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// admitConn adds a new connection and returns true. If the server is dead or at
// its limit, it counts the connection as rejected and returns false.
func (s *server) admitConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil || len(s.conns) >= s.opts.Connections {
		s.rejected++
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *server) releaseConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// vm returns the server's entry in the platform's list of VMs.
func (s *server) vm() platformcaller.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platformcaller.VM{
		ID:            string(s.id),
		Kind:          platformcaller.BackendServer,
		FailureDomain: s.domain,
		Rack:          s.rack,
		Address:       s.address,
		State:         s.state(),
		Slots:         s.opts.Slots,
		Connections:   s.opts.Connections,
		Millicores:    s.opts.Millicores,
		Memory:        s.opts.Memory,
		Accelerators:  s.opts.Accelerators,
	}
}

// state returns the server's state. The caller holds mu.
func (s *server) state() platformcaller.VMState {
	if s.faults.Leaving {
		return platformcaller.Leaving
	}
	return platformcaller.Live
}

// visibleToPlatform reports whether the platform can see that the server is alive.
func (s *server) visibleToPlatform() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil && !s.faults.Frozen && !s.faults.Cut
}

// setFaults replaces the server's faults. If Dead is newly set, it kills the
// server; if Dead is newly cleared, the server listens at its address again.
func (s *server) setFaults(f Faults) error {
	s.mu.Lock()
	dead := s.http == nil
	address := s.address
	s.faults = f
	tasks := s.takeFrozenTasks()
	s.mu.Unlock()
	s.setStall(f)
	for _, t := range tasks {
		s.handleTimer(t)
	}
	switch {
	case f.Dead && !dead:
		s.kill()
	case !f.Dead && dead:
		return s.listen(address)
	}
	return nil
}

// setStall replaces the server's stall with the one that the faults ask for, if any,
// and lifts the old one.
func (s *server) setStall(f Faults) {
	var next *stall
	if f.Frozen || f.Cut || len(f.CutCallers) > 0 || len(f.CutFailureDomains) > 0 {
		next = &stall{
			all:     f.Frozen || f.Cut,
			callers: f.CutCallers,
			domains: f.CutFailureDomains,
			lifted:  make(chan struct{}),
		}
	}
	if previous := s.stall.Swap(next); previous != nil {
		close(previous.lifted)
	}
}

// kill closes the server's listener and connections, so that nothing more is
// answered, and ends all tasks.
func (s *server) kill() {
	s.mu.Lock()
	hs := s.http
	s.http = nil // starts are refused from now on
	s.mu.Unlock()
	if hs == nil {
		return
	}
	_ = hs.Close() // an error of closing the listener doesn't matter here
	s.serving.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, t := range s.table.running() {
		s.endTask(now, t, Died, "the backend server died")
	}
	s.table = newTaskTable()
}
