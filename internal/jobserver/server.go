// Package jobserver runs the state machine of package repeater on one entry VM: it
// owns the machine's goroutine, the links to peers, the calls to backend servers
// and the waiting requests.
package jobserver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/evacuator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peerlinker"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/repeater"
	"github.com/peppertrack/peppertrack/internal/router"
)

// Server runs the state machine of one entry VM.
type Server struct {
	opts      Options
	linker    *peerlinker.Linker
	events    chan repeater.Event
	ctx       context.Context
	cancel    context.CancelFunc
	group     errgroup.Group
	drained   chan struct{}
	latencies *latencies

	vmAddresses atomic.Pointer[map[identifier.VMID]string] // of the VMs that the store lists

	counters  atomic.Pointer[repeater.Counters]
	outcomes  *answers[repeater.Outcome]
	decisions *answers[repeater.RouteDecision]
	readiness *answers[bool]
}

// New returns a Server that does nothing before Start.
func New(opts Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		opts:      opts,
		events:    make(chan repeater.Event, eventCapacity),
		ctx:       ctx,
		cancel:    cancel,
		drained:   make(chan struct{}),
		latencies: newLatencies(),
		outcomes:  newAnswers[repeater.Outcome](),
		decisions: newAnswers[repeater.RouteDecision](),
		readiness: newAnswers[bool](),
	}
	s.vmAddresses.Store(&map[identifier.VMID]string{})
	s.linker = peerlinker.New(peerlinker.Options{
		Self:   peerlinker.Peer{Member: opts.Self, Domain: opts.Domain, Address: opts.PeerAddress},
		Seeds:  opts.Seeds,
		Handle: s.handleLinkEvent,
		Logger: opts.Logger,
	})
	return s
}

// Start starts the state machine and links to the peers.
func (s *Server) Start() {
	s.group.Go(func() error {
		s.run()
		return nil
	})
	s.linker.Start()
}

// PeerHandler returns the HTTP handler of incoming links.
func (s *Server) PeerHandler() http.Handler { return s.linker.Handler() }

// Connect links to a peer at an address.
func (s *Server) Connect(address string) { s.linker.Connect(address) }

// SetRoutes puts a route table in force unless a later one is in force.
func (s *Server) SetRoutes(t *router.Table) { s.post(repeater.RoutesChanged{Table: t}) }

// ConfirmRoutes reports that the store had no later routes at asOf than those that
// SetRoutes was called with before.
func (s *Server) ConfirmRoutes(asOf time.Time) { s.post(repeater.RoutesConfirmed{AsOf: asOf}) }

// SetServers puts the list of backend servers of a revision in force.
func (s *Server) SetServers(revision uint64, servers []repeater.Server) {
	s.post(repeater.ServersChanged{Revision: revision, Servers: servers})
}

// ConfirmServers reports that the store had no later list of backend servers at asOf than
// those set before.
func (s *Server) ConfirmServers(asOf time.Time) { s.post(repeater.ServersConfirmed{AsOf: asOf}) }

// SetEvacuations puts the list of evacuated failure domains in force unless a later one is.
func (s *Server) SetEvacuations(l evacuator.List) { s.post(repeater.EvacuationsChanged{List: l}) }

// SetListedVMs tells the state machine which VMs the store lists, and where they accept
// links.
func (s *Server) SetListedVMs(vms []repeater.ListedVM, addresses map[identifier.VMID]string) {
	s.vmAddresses.Store(&addresses)
	s.post(repeater.VMsListed{VMs: vms})
}

// Route decides the route of a request; false when the context ended first.
func (s *Server) Route(ctx context.Context, host, path string) (d repeater.RouteDecision, answered bool) {
	d, err := ask(ctx, s, s.decisions, func(id repeater.RequestID) repeater.Event {
		return repeater.RouteRequested{Request: id, Host: host, Path: path}
	})
	switch {
	case errors.Is(err, errQueueFull):
		return queueFull(), true
	case errors.Is(err, errClosed):
		return repeater.Refused{RetryAfter: time.Second, Reason: "this VM has shut down"}, true
	}
	return d, err == nil
}

// Submit runs a job and returns its outcome; false when the context ended first.
func (s *Server) Submit(ctx context.Context, j repeater.Job) (o repeater.Outcome, answered bool) {
	started := time.Now()
	var request repeater.RequestID
	o, err := ask(ctx, s, s.outcomes, func(id repeater.RequestID) repeater.Event {
		request = id
		return repeater.JobSubmitted{Request: id, Job: j}
	})
	switch {
	case errors.Is(err, errQueueFull):
		return queueFull(), true
	case errors.Is(err, errClosed):
		return repeater.Lost{Cause: "this VM has shut down"}, true
	case err != nil:
		s.post(repeater.RequestAbandoned{Request: request})
		return nil, false
	}
	s.latencies.recordJob(o, time.Since(started))
	return o, true
}

// Ready reports whether this VM can serve new callers. It can't if the context ends
// before that is known.
func (s *Server) Ready(ctx context.Context) bool {
	ready, err := ask(ctx, s, s.readiness, func(id repeater.RequestID) repeater.Event {
		return repeater.ReadinessRequested{Request: id}
	})
	return err == nil && ready
}

func queueFull() repeater.Refused {
	return repeater.Refused{Overloaded: true, RetryAfter: time.Second, Reason: errQueueFull.Error()}
}

// Drain hands over all backend servers to peers and returns when no job is open, or
// with the context's error when the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.post(repeater.DrainStarted{})
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the state machine, the links and all calls, and waits for them to
// end.
func (s *Server) Close() error {
	s.cancel()
	err := s.linker.Close()
	return errors.CombineErrors(err, s.group.Wait())
}

// post queues an event for the state machine. It blocks while the queue is full,
// which slows the sender down.
func (s *Server) post(e repeater.Event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// handleLinkEvent translates an event of the linker into one of the state machine.
func (s *Server) handleLinkEvent(e peerlinker.Event) {
	switch e := e.(type) {
	case peerlinker.PeerUp:
		s.post(repeater.PeerLinked{Peer: e.Peer.Member, Domain: e.Peer.Domain})
	case peerlinker.PeerDown:
		s.post(repeater.PeerUnlinked{Peer: e.Peer.Member, Unneeded: e.Unneeded})
	case peerlinker.Received:
		if c, ok := e.Message.(peermessenger.DirectoryCopy); ok {
			s.handleDirectoryCopy(e.From.Member, c)
			return
		}
		s.post(repeater.PeerMessage{From: e.From.Member, Domain: e.From.Domain, Message: e.Message})
	}
}

// handleDirectoryCopy passes on a peer's copy of the routes and backend servers.
func (s *Server) handleDirectoryCopy(from identifier.Member, c peermessenger.DirectoryCopy) {
	if c.Routes != nil {
		t, err := router.Decode(c.Routes)
		if err != nil {
			_ = s.opts.Logger.Log("level", "error", "msg", "ignoring a malformed copy of the routes", "peer", from, "err", err)
		} else {
			s.post(repeater.RoutesChanged{Table: t})
		}
	}
	if c.Servers != nil {
		servers, err := repeater.DecodeServers(c.Servers)
		if err != nil {
			_ = s.opts.Logger.Log("level", "error", "msg", "ignoring a malformed copy of the backend servers", "peer", from, "err", err)
			return
		}
		s.post(repeater.ServersChanged{Revision: c.ServersRevision, Servers: servers})
	}
}
