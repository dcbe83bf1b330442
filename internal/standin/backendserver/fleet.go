// Package backendserver is a small stand-in for the platform's backend servers:
// many of them in one process, each with its own listener, over HTTP/2 in clear
// text. Their faults are set at run time, and every start is audited.
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

// registrationsPerTTL is how often a server is registered in the time after
// which the platform takes it for gone.
const registrationsPerTTL = 3

// Fleet runs backend servers.
type Fleet struct {
	opts    Options
	servers []*server
	auditor *auditor
	cancel  context.CancelFunc
	duties  sync.WaitGroup
}

// NewFleet starts the backend servers. Close ends them.
func NewFleet(opts Options) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "starting backend servers") }()
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	f = &Fleet{opts: opts, auditor: newAuditor()}
	for i := range opts.Count {
		s := f.newServer(i)
		if err := s.listen(f.listenAddress(i)); err != nil {
			f.kill()
			return nil, err
		}
		s.takeUsage()
		f.servers = append(f.servers, s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.duties.Go(func() { f.every(ctx, opts.UsageLag, f.takeUsage) })
	if opts.Registrar != nil {
		f.register(ctx)
		f.duties.Go(func() { f.every(ctx, opts.RegisterInterval, f.register) })
	}
	return f, nil
}

// newServer returns the server at a position. Racks are dealt to the failure
// domains in turn.
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

// VMs returns the servers' entries for the platform's list.
func (f *Fleet) VMs() []platformcaller.VM {
	vms := make([]platformcaller.VM, 0, len(f.servers))
	for _, s := range f.servers {
		vms = append(vms, s.vm())
	}
	return vms
}

// SetFaults replaces the faults of the servers that the selector selects and
// returns how many these are.
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

// AuditSummary returns the counts of the starts that the servers have seen.
func (f *Fleet) AuditSummary() AuditSummary {
	return f.auditor.summarize()
}

// Audit returns up to limit records of starts that follow the sequence number
// after, in their order. The oldest records go once the bound is reached.
func (f *Fleet) Audit(after uint64, limit int) []AuditRecord {
	return f.auditor.page(after, limit)
}

// Close takes the servers from the platform's list, ends them with the tasks
// that still run, and waits.
func (f *Fleet) Close() error {
	f.cancel()
	f.duties.Wait()
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

// every calls duty at each interval until ctx ends.
func (f *Fleet) every(ctx context.Context, interval time.Duration, duty func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			duty(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) takeUsage(context.Context) {
	for _, s := range f.servers {
		s.takeUsage()
	}
}

// register puts the servers that the platform sees on its list.
func (f *Fleet) register(ctx context.Context) {
	var vms []platformcaller.VM
	for _, s := range f.servers {
		if s.present() {
			vms = append(vms, s.vm())
		}
	}
	ttl := registrationsPerTTL * f.opts.RegisterInterval
	if err := f.opts.Registrar.Register(ctx, vms, ttl); err != nil {
		level.Warn(f.opts.Logger).Log("msg", "registering backend servers failed", "err", err)
	}
}

// Handler returns the handler of the fleet's administration: faults and audit.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", f.getServers)
	mux.HandleFunc("POST /v1/faults", f.postFaults)
	mux.HandleFunc("GET /v1/audit", f.getAudit)
	mux.HandleFunc("GET /v1/audit/summary", f.getAuditSummary)
	return mux
}
