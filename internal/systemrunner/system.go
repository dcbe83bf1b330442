// Package systemrunner runs a whole system in one process on loopback: stand-ins
// for the platform and the backend servers, and entry VMs in several failure
// domains.
package systemrunner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/runner"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
	"github.com/peppertrack/peppertrack/internal/standin/platformserver"
)

// System is a running system.
type System struct {
	opts           Options
	platform       *platformserver.Server
	url            string
	fleet          *backendserver.Fleet
	profileVersion identifier.ProfileVersion // of the book of profiles at the start
	group          errgroup.Group

	mu      sync.Mutex
	runners map[identifier.VMID]*runner.Runner
	links   *linkCutter
}

// Start starts a System, which serves until Close.
func Start(opts Options) (s *System, err error) {
	defer func() { err = errors.Wrap(err, "starting the system") }()
	s = &System{opts: opts, runners: make(map[identifier.VMID]*runner.Runner), links: newLinkCutter()}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	if err := s.createProfiles(); err != nil {
		return nil, errors.CombineErrors(err, s.Close())
	}
	if err := s.startFleet(); err != nil {
		return nil, errors.CombineErrors(err, s.Close())
	}
	for _, domain := range opts.FailureDomains {
		for n := range opts.VMsPerDomain {
			if err := s.StartVM(vmName(domain, n), domain); err != nil {
				return nil, errors.CombineErrors(err, s.Close())
			}
		}
	}
	return s, nil
}

func vmName(domain identifier.FailureDomain, n int) identifier.VMID {
	return identifier.VMID(fmt.Sprintf("%s-%d", domain, n+1))
}

func (s *System) startPlatform() error {
	l, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return err
	}
	s.platform = platformserver.New(platformserver.Options{})
	s.url = "http://" + l.Addr().String()
	s.group.Go(func() error { return s.platform.Serve(l) })
	return nil
}

func (s *System) startFleet() (err error) {
	s.fleet, err = backendserver.NewFleet(backendserver.Options{
		Count:          s.opts.BackendServers,
		FailureDomains: s.opts.FailureDomains,
		Slots:          s.opts.SlotsPerServer,
		Registrar:      s.platform.Memory(),
		Logger:         s.opts.Logger,
	})
	return err
}

// StartVM starts an entry VM, or a later incarnation of one that was stopped.
func (s *System) StartVM(vm identifier.VMID, domain identifier.FailureDomain) (err error) {
	defer func() { err = errors.Wrapf(err, "starting entry VM %s", vm) }()
	settings := s.settings(vm, domain)
	if err := s.registerVM(settings); err != nil {
		return err
	}
	r, err := runner.Start(runner.Options{
		Settings: settings,
		Logger:   s.opts.Logger,
		Dial:     s.links.dialer(domain),
	})
	if err != nil {
		return err
	}
	_, _, peers := r.Addresses()
	s.links.setDomain(peers.String(), domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners[vm] = r
	return nil
}

// registerVM adds an entry VM to the platform's list, as the platform does with
// the VMs that it starts. Nothing connects to the address in the list.
func (s *System) registerVM(settings settingsloader.Settings) error {
	return s.platform.Memory().Register(context.Background(), []platformcaller.VM{{
		ID:            string(settings.VM),
		Kind:          platformcaller.EntryVM,
		FailureDomain: settings.FailureDomain,
		Address:       placeholderAddress,
		State:         platformcaller.Live,
	}}, 0)
}

func (s *System) settings(vm identifier.VMID, domain identifier.FailureDomain) settingsloader.Settings {
	settings := settingsloader.Default()
	settings.VM = vm
	settings.FailureDomain = domain
	settings.FailureDomains = s.opts.FailureDomains
	settings.Listen = settingsloader.Listen{Callers: anyLoopbackPort, Operators: anyLoopbackPort, Peers: anyLoopbackPort}
	settings.Peers = s.peerAddresses()
	settings.Platform.URL = s.url
	settings.Callers.RequireTokens = false
	if s.opts.AdjustVMSettings != nil {
		s.opts.AdjustVMSettings(&settings)
	}
	return settings
}

func (s *System) peerAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, r := range s.runners {
		_, _, peers := r.Addresses()
		addresses = append(addresses, peers.String())
	}
	return addresses
}

// StopVM shuts an entry VM down gracefully, or at once when ctx is done, and
// removes it from the platform's list.
func (s *System) StopVM(ctx context.Context, vm identifier.VMID) error {
	s.mu.Lock()
	r := s.runners[vm]
	delete(s.runners, vm)
	s.mu.Unlock()
	if r == nil {
		return errors.Newf("entry VM %s is not running", vm)
	}
	err := r.Shutdown(ctx)
	return errors.CombineErrors(err, s.platform.Memory().Remove(ctx, []string{string(vm)}))
}

// CutLinks cuts the links between two failure domains, in both directions.
func (s *System) CutLinks(a, b identifier.FailureDomain) { s.links.cut(a, b) }

// RestoreLinks restores all links that were cut.
func (s *System) RestoreLinks() { s.links.restore() }

// CallerAddresses returns the addresses of the callers' API, by entry VM.
func (s *System) CallerAddresses() map[identifier.VMID]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make(map[identifier.VMID]string, len(s.runners))
	for vm, r := range s.runners {
		callers, _, _ := r.Addresses()
		addresses[vm] = callers.String()
	}
	return addresses
}

// OperatorAddresses returns the addresses of the operators' API, by entry VM.
func (s *System) OperatorAddresses() map[identifier.VMID]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make(map[identifier.VMID]string, len(s.runners))
	for vm, r := range s.runners {
		_, operators, _ := r.Addresses()
		addresses[vm] = operators.String()
	}
	return addresses
}

// Platform returns the platform's stand-in, into which faults can be injected.
func (s *System) Platform() *platformcaller.FakeService { return s.platform.Memory() }

// Fleet returns the backend servers, into which faults can be injected.
func (s *System) Fleet() *backendserver.Fleet { return s.fleet }

// readyPollInterval is the time between two checks of the entry VMs' readiness.
const readyPollInterval = 10 * time.Millisecond

// AwaitReady waits until every entry VM accepts new requests.
func (s *System) AwaitReady(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "waiting for the entry VMs to become ready") }()
	for !s.allReady() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (s *System) allReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		if !r.Ready() || r.ProfileVersion() < s.profileVersion {
			return false
		}
	}
	return true
}

// Close stops the system and waits until it has ended.
func (s *System) Close() (err error) {
	s.mu.Lock()
	runners := s.runners
	s.runners = make(map[identifier.VMID]*runner.Runner)
	s.mu.Unlock()
	for _, r := range runners {
		err = errors.CombineErrors(err, r.Close())
	}
	if s.fleet != nil {
		err = errors.CombineErrors(err, s.fleet.Close())
	}
	err = errors.CombineErrors(err, s.platform.Close())
	return errors.CombineErrors(err, s.group.Wait())
}
