// Package backendserver is a small stand-in for the platform's backend servers.
// It runs many of them in one process, each with its own listener for HTTP/2
// without TLS. Their faults are set at run time, and every start is audited.
package backendserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// registrationsPerTTL is the number of registrations of a server within the
// lifetime of one. After that lifetime the platform considers the server gone.
const registrationsPerTTL = 3

// Fleet runs backend servers.
type Fleet struct {
	opts       Options
	servers    []*server
	auditor    *auditor
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// NewFleet starts the backend servers. Close stops them.
func NewFleet(opts Options) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "starting backend servers") }()
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	f = &Fleet{opts: opts, auditor: newAuditor()}
	for i := range opts.Count {
		s := f.newServer(i)
		if err := s.listen(f.listenAddress(i)); err != nil {
			f.kill()
			return nil, err
		}
		s.refreshUsage()
		f.servers = append(f.servers, s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.background.Go(func() { f.runEvery(ctx, opts.UsageLag, f.refreshUsage) })
	if opts.Registrar != nil {
		f.register(ctx)
		f.background.Go(func() { f.runEvery(ctx, opts.RegisterInterval, f.register) })
	}
	return f, nil
}

// newServer returns the server at a position. Racks are assigned to the failure
// domains round-robin.
func (f *Fleet) newServer(position int) *server {
	rack := position / f.opts.RackSize
	domain := f.opts.FailureDomains[rack%len(f.opts.FailureDomains)]
	return &server{
		id:      identifier.BackendID(fmt.Sprintf("%s-%d", f.opts.IDPrefix, position)),
		rack:    identifier.RackID(fmt.Sprintf("%s-rack-%d", f.opts.IDPrefix, rack)),
		domain:  domain,
		opts:    f.opts,
		auditor: f.auditor,
		table:   newTaskTable(),
	}
}

func (f *Fleet) listenAddress(position int) string {
	port := 0
	if f.opts.FirstPort > 0 {
		port = f.opts.FirstPort + position
	}
	return net.JoinHostPort(f.opts.Host, strconv.Itoa(port))
}

// VMs returns the servers' entries for the platform's list of VMs.
func (f *Fleet) VMs() []platformcaller.VM {
	vms := make([]platformcaller.VM, 0, len(f.servers))
	for _, s := range f.servers {
		vms = append(vms, s.vm())
	}
	return vms
}

// SetFaults replaces the faults of the selected servers and returns their number.
func (f *Fleet) SetFaults(selector Selector, faults Faults) (n int, err error) {
	defer func() { err = errors.Wrap(err, "setting faults") }()
	if faults.Straggle < 0 {
		return 0, errors.New("straggle: negative")
	}
	for _, s := range f.servers {
		if !selector.selects(s) {
			continue
		}
		n++
		if err := s.setFaults(faults); err != nil {
			return n, err
		}
	}
	return n, nil
}

// AuditSummary returns the counts of the fleet's audit.
func (f *Fleet) AuditSummary() AuditSummary {
	return f.auditor.summarize()
}

// Audit returns up to limit records of starts that follow the sequence number
// after, in the order of the starts. Only the newest maxAuditRecords are kept.
func (f *Fleet) Audit(after uint64, limit int) []AuditRecord {
	return f.auditor.page(after, limit)
}

// Close stops the servers and the tasks that still run, waits for them, and
// removes the servers from the platform's list.
func (f *Fleet) Close() error {
	f.cancel()
	f.background.Wait()
	f.kill()
	if f.opts.Registrar == nil {
		return nil
	}
	var ids []string
	for _, s := range f.servers {
		ids = append(ids, string(s.id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformcaller.DefaultTimeout)
	defer cancel()
	return errors.Wrap(f.opts.Registrar.Remove(ctx, ids), "closing backend servers")
}

func (f *Fleet) kill() {
	for _, s := range f.servers {
		s.setStall(Faults{})
		s.kill()
	}
}

// runEvery calls action at each interval until ctx ends.
func (f *Fleet) runEvery(ctx context.Context, interval time.Duration, action func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			action(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) refreshUsage(context.Context) {
	for _, s := range f.servers {
		s.refreshUsage()
	}
}

// register puts the servers that are visible to the platform on its list.
func (f *Fleet) register(ctx context.Context) {
	var vms []platformcaller.VM
	for _, s := range f.servers {
		if s.visibleToPlatform() {
			vms = append(vms, s.vm())
		}
	}
	ttl := registrationsPerTTL * f.opts.RegisterInterval
	if err := f.opts.Registrar.Register(ctx, vms, ttl); err != nil {
		level.Warn(f.opts.Logger).Log("msg", "cannot register backend servers with the platform", "err", err)
	}
}

// Handler returns the handler of the fleet's admin API, which sets faults and
// serves the audit.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", f.getServers)
	mux.HandleFunc("POST /v1/faults", f.postFaults)
	mux.HandleFunc("GET /v1/audit", f.getAudit)
	mux.HandleFunc("GET /v1/audit/summary", f.getAuditSummary)
	return mux
}
