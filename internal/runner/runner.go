// Package runner assembles the daemon of one entry VM: the state machines, each
// owned by a goroutine, and the clients and servers that connect them to the
// network.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/backendcaller"
	"github.com/peppertrack/peppertrack/internal/burnreporter"
	"github.com/peppertrack/peppertrack/internal/certificateloader"
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peerinquirer"
	"github.com/peppertrack/peppertrack/internal/peerlinker"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilefollower"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// Runner is the daemon of one entry VM.
type Runner struct {
	opts          Options
	self          identifier.Member
	platform      Platform
	closePlatform func() // closes the platform's client if openPlatform created it

	dispatchQueue eventQueue[dispatcher.Event]
	rosterQueue   eventQueue[enroller.Event]
	requests      *requests
	backends      *backends
	linker        *peerlinker.Linker
	links         *linkTable
	inquirer      *peerinquirer.Inquirer
	follower      *profilefollower.Follower
	writer        *profilewriter.Writer
	auth          *authenticator.Authenticator
	certificates  *certificateloader.Loader // nil: links without TLS
	counters      dispatcher.Counters
	burn          *burnreporter.Recorder

	listeners listeners
	servers   []*http.Server
	group     *errgroup.Group
	cancel    context.CancelFunc

	reachable atomic.Bool // the last read of the list of VMs succeeded
	joined    atomic.Bool // the roster in force contains this process
	draining  atomic.Bool

	knowsBackends atomic.Bool // a list of VMs that contains a backend server was read
	drained       chan struct{}
	failed        <-chan struct{}
	listRevision  enroller.Revision // successful reads of the list of VMs; owned by watchVMs
}

// Start starts a Runner. It serves until Close or Shutdown.
func Start(opts Options) (r *Runner, err error) {
	defer func() { err = errors.Wrapf(err, "starting entry VM %s", opts.Settings.VM) }()
	r = &Runner{
		opts:    opts,
		burn:    burnreporter.NewRecorder(),
		drained: make(chan struct{}),
	}
	if err := r.openPlatform(); err != nil {
		return nil, err
	}
	r.listeners, err = listen(opts.Settings.Listen)
	if err != nil {
		return nil, err
	}
	r.self = identifier.Member{VM: opts.Settings.VM, Incarnation: opts.incarnation()}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group, ctx = errgroup.WithContext(ctx)
	r.failed = ctx.Done()
	if err := r.assemble(ctx); err != nil {
		cancel()
		r.listeners.close()
		return nil, err
	}
	return r, nil
}

// openPlatform takes the platform of the options, or creates a client for it.
func (r *Runner) openPlatform() error {
	r.closePlatform = func() {}
	if r.opts.Platform != nil {
		r.platform = r.opts.Platform
		return nil
	}
	client, err := platformcaller.New(platformcaller.Options{
		BaseURL:       r.opts.Settings.Platform.URL,
		Caller:        r.opts.Settings.VM,
		FailureDomain: r.opts.Settings.FailureDomain,
		Timeout:       r.opts.Settings.Platform.Timeout,
	})
	if err != nil {
		return err
	}
	r.platform = client
	r.closePlatform = client.Close
	return nil
}

// assemble creates the components and starts their goroutines.
func (r *Runner) assemble(ctx context.Context) error {
	r.dispatchQueue = newEventQueue[dispatcher.Event](ctx, dispatchQueueCapacity)
	r.rosterQueue = newEventQueue[enroller.Event](ctx, rosterQueueCapacity)
	r.requests = newRequests(r.dispatchQueue)
	caller, err := backendcaller.New(backendcaller.Options{
		Caller:        r.opts.Settings.VM,
		FailureDomain: r.opts.Settings.FailureDomain,
	})
	if err != nil {
		return err
	}
	r.backends = &backends{ctx: ctx, caller: caller, holder: r.opts.Settings.VM, queue: r.dispatchQueue}
	r.auth, err = r.newAuthenticator()
	if err != nil {
		return err
	}
	r.links = newLinkTable()
	if err := r.loadCertificates(); err != nil {
		return err
	}
	r.inquirer = peerinquirer.New(peerinquirer.Options{
		Send:   func(to identifier.Member, m peermessenger.Message) bool { return r.linker.Send(to, m) },
		Report: r.ownReport,
	})
	r.linker = peerlinker.New(peerlinker.Options{
		Self:   peerlinker.Peer{Member: r.self, Domain: r.opts.Settings.FailureDomain, Address: r.listeners.peers.Addr().String()},
		Seeds:  r.opts.Settings.Peers,
		Handle: r.handleLinkEvent,
		Logger: r.opts.Logger,
		Dial:   r.opts.Dial,
		TLS:    r.clientTLS(),
	})
	r.followProfiles()
	r.startLoops(ctx)
	r.linker.Start()
	r.serve()
	return nil
}

func (r *Runner) startLoops(ctx context.Context) {
	dispatch := &dispatchLoop{queue: r.dispatchQueue, machine: r.newMachine(), perform: r.perform}
	roster := &rosterLoop{
		queue: r.rosterQueue,
		machine: enroller.New(enroller.Options{
			Domain:  r.opts.Settings.FailureDomain,
			Self:    r.self,
			Address: r.listeners.peers.Addr().String(),
			Rand:    r.newRand(),

			SuspectAfter: suspectAfter,
		}),
		store:         r.platform,
		key:           enroller.StoreKey(r.opts.Settings.FailureDomain),
		timeout:       r.opts.Settings.Platform.Timeout,
		send:          func(s enroller.Send) { r.linker.Send(s.To, s.Message) },
		connect:       r.linker.Connect,
		adopt:         r.updateJoined,
		dispatchQueue: r.dispatchQueue,
	}
	r.group.Go(func() error { return dispatch.run(ctx) })
	r.group.Go(func() error { return roster.run(ctx) })
	r.group.Go(func() error { return r.watchVMs(ctx) })
	r.group.Go(func() error { return r.rediscoverDomains(ctx) })
}

func (r *Runner) newMachine() *dispatcher.Machine {
	s := r.opts.Settings
	return dispatcher.New(dispatcher.Options{
		Self:       r.self,
		Domain:     s.FailureDomain,
		Domains:    s.FailureDomains,
		Rand:       r.newRand(),
		MaxRecords: s.Records.MaxCount,
		Retention:  s.Records.Retention,
		ClockBound: s.Records.MaxClockSkew,
		Counters:   &r.counters,
	})
}

func (r *Runner) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(r.self.Incarnation), rand.Uint64()))
}

// Addresses returns the addresses on which the runner listens.
func (r *Runner) Addresses() (callers, operators, peers net.Addr) {
	return r.listeners.callers.Addr(), r.listeners.operators.Addr(), r.listeners.peers.Addr()
}

// Counters returns the dispatcher's counters, which may be read at any time.
func (r *Runner) Counters() *dispatcher.Counters { return &r.counters }

// Self returns the identity of this process.
func (r *Runner) Self() identifier.Member { return r.self }

// Failed is closed when a goroutine of the runner has failed, or when the runner
// was closed.
func (r *Runner) Failed() <-chan struct{} { return r.failed }

// Shutdown ends the runner once its jobs have ended and its records have been
// handed over to peers, or when the context ends, whichever comes first.
func (r *Runner) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shutting down") }()
	r.draining.Store(true)
	r.rosterQueue.put(enroller.LeaveRequested{})
	r.dispatchQueue.put(dispatcher.DrainRequested{})
	var cause error
	select {
	case <-r.drained:
	case <-ctx.Done():
		cause = ctx.Err()
	}
	return errors.CombineErrors(cause, r.Close())
}

// Close ends the runner without waiting for its jobs, and waits for its goroutines.
func (r *Runner) Close() error {
	r.draining.Store(true)
	r.closeServers()
	r.cancel()
	err := errors.CombineErrors(r.linker.Close(), r.follower.Close())
	r.backends.Close()
	if r.certificates != nil {
		r.certificates.Close()
	}
	r.closePlatform()
	return errors.CombineErrors(r.group.Wait(), err)
}
