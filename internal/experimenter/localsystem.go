package experimenter

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
	"github.com/peppertrack/peppertrack/internal/systemrunner"
)

const (
	localReadyTimeout    = 30 * time.Second
	localShutdownTimeout = 30 * time.Second
	adminHeaderTimeout   = 5 * time.Second
)

// Local opens systems in this process, over loopback sockets.
type Local struct{ Logger log.Logger }

// localSystem is a system in this process.
type localSystem struct {
	system       *systemrunner.System
	adminServer  *http.Server
	adminAddress string
	serving      sync.WaitGroup

	mu              sync.Mutex
	domains         map[identifier.VMID]identifier.FailureDomain
	callerAddresses map[identifier.VMID]string
}

// Open implements Opener.
func (l Local) Open(ctx context.Context, s Scenario, policy profileparser.Policy) (opened System, err error) {
	defer func() { err = errors.Wrap(err, "opening a local system") }()
	local := &localSystem{
		domains:         make(map[identifier.VMID]identifier.FailureDomain),
		callerAddresses: make(map[identifier.VMID]string),
	}
	local.system, err = systemrunner.Start(systemrunner.Options{
		FailureDomains:   s.System.FailureDomains,
		VMsPerDomain:     s.System.EntryVMsPerDomain,
		BackendServers:   s.System.BackendServers,
		SlotsPerServer:   s.System.SlotsPerServer,
		Profiles:         []profileparser.Profile{s.profile(policy)},
		Logger:           l.Logger,
		AdjustVMSettings: local.adjustSettings,
	})
	if err != nil {
		return nil, err
	}
	if err := local.serveAdmin(); err != nil {
		return nil, errors.CombineErrors(err, local.system.Close())
	}
	ctx, cancel := context.WithTimeout(ctx, localReadyTimeout)
	defer cancel()
	if err := local.system.AwaitReady(ctx); err != nil {
		return nil, errors.CombineErrors(err, local.Close())
	}
	local.mu.Lock()
	local.callerAddresses = local.system.CallerAddresses()
	local.mu.Unlock()
	return local, nil
}

// adjustSettings records the failure domain of an entry VM. A process that
// replaces an earlier one of the VM gets the earlier one's callers' address.
func (l *localSystem) adjustSettings(settings *settingsloader.Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains[settings.VM] = settings.FailureDomain
	if address, known := l.callerAddresses[settings.VM]; known {
		settings.Listen.Callers = address
	}
}

func (l *localSystem) serveAdmin() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.adminAddress = listener.Addr().String()
	l.adminServer = &http.Server{Handler: l.system.Fleet().Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	l.serving.Go(func() { _ = l.adminServer.Serve(listener) }) // returns only after Close
	return nil
}

// EntryVMs implements System.
func (l *localSystem) EntryVMs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, address := range l.callerAddresses {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, strings.Compare)
	return addresses
}

// BackendAdmin implements System.
func (l *localSystem) BackendAdmin() string { return l.adminAddress }

// SharedProcess implements System.
func (l *localSystem) SharedProcess() bool { return true }

// Inject implements System.
func (l *localSystem) Inject(ctx context.Context, fault Fault) (err error) {
	defer func() { err = errors.Wrapf(err, "fault: %s", fault) }()
	switch f := fault.(type) {
	case BackendFault:
		_, err := l.system.Fleet().SetFaults(f.Selector, f.Faults)
		return err
	case ReplaceVMs:
		return l.replaceVMs(ctx, f.Pause)
	case KillVMs:
		return l.killVMs(f.FailureDomains)
	case CutDomains:
		l.system.CutLinks(f.Between[0], f.Between[1])
		return nil
	case HealDomains:
		l.system.RestoreLinks()
		return nil
	default:
		return errors.Newf("unknown fault %T", fault)
	}
}

func (l *localSystem) vmIDs() []identifier.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []identifier.VMID
	for vm := range l.domains {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

func (l *localSystem) domainOf(vm identifier.VMID) identifier.FailureDomain {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.domains[vm]
}

func (l *localSystem) replaceVMs(ctx context.Context, pause time.Duration) error {
	for _, vm := range l.vmIDs() {
		if err := l.replaceVM(ctx, vm); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	return nil
}

func (l *localSystem) replaceVM(ctx context.Context, vm identifier.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, localShutdownTimeout)
	defer cancel()
	if err := l.system.StopVM(ctx, vm); err != nil {
		return err
	}
	return l.system.StartVM(vm, l.domainOf(vm))
}

// killVMs ends the entry VMs of failure domains without a shutdown.
func (l *localSystem) killVMs(domains []identifier.FailureDomain) error {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for _, vm := range l.vmIDs() {
		if !slices.Contains(domains, l.domainOf(vm)) {
			continue
		}
		if err := l.system.StopVM(expired, vm); err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

// Close implements System.
func (l *localSystem) Close() error {
	err := l.adminServer.Close()
	l.serving.Wait()
	return errors.CombineErrors(err, l.system.Close())
}
