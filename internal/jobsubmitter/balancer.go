package jobsubmitter

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// balancer picks a ready entry VM for each request. It probes their readiness.
type balancer struct {
	client *http.Client
	scheme string

	mu  sync.Mutex
	rng *rand.Rand
	vms []vmState
}

type vmState struct {
	address string
	ready   bool
	domain  identifier.FailureDomain // "" until known
}

func newBalancer(opts Options, rng *rand.Rand) *balancer {
	b := &balancer{
		client: &http.Client{Transport: opts.Transport},
		scheme: opts.Scheme,
		rng:    rng,
		vms:    make([]vmState, len(opts.Addresses)),
	}
	for i, address := range opts.Addresses {
		b.vms[i] = vmState{address: address, ready: true}
	}
	return b
}

// pick returns a random ready entry VM other than avoid. If no other is ready, it
// returns any other, or avoid if that is the only one: the attempt itself then
// tests its readiness.
func (b *balancer) pick(avoid string) vmState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, others []vmState
	for _, vm := range b.vms {
		if vm.address == avoid {
			continue
		}
		others = append(others, vm)
		if vm.ready {
			ready = append(ready, vm)
		}
	}
	switch {
	case len(ready) > 0:
		return ready[b.rng.IntN(len(ready))]
	case len(others) > 0:
		return others[b.rng.IntN(len(others))]
	default:
		return b.vms[b.rng.IntN(len(b.vms))]
	}
}

// setReady records whether an entry VM is ready, and its failure domain unless
// that is empty.
func (b *balancer) setReady(address string, ready bool, domain identifier.FailureDomain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.vms {
		if b.vms[i].address != address {
			continue
		}
		b.vms[i].ready = ready
		if domain != "" {
			b.vms[i].domain = domain
		}
	}
}

// setDomain records the failure domain of an entry VM unless it is empty.
func (b *balancer) setDomain(address string, domain identifier.FailureDomain) {
	if domain == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.vms {
		if b.vms[i].address == address {
			b.vms[i].domain = domain
		}
	}
}

func (b *balancer) markUnready(address string) { b.setReady(address, false, "") }

func (b *balancer) addresses() []string {
	addresses := make([]string, len(b.vms))
	for i, vm := range b.vms {
		addresses[i] = vm.address
	}
	return addresses
}

// probeRepeatedly probes one entry VM at an interval until the context ends.
func (b *balancer) probeRepeatedly(ctx context.Context, address string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.probe(ctx, address)
		}
	}
}

// probe asks one entry VM whether it is ready, and records its answer and its
// failure domain.
func (b *balancer) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.scheme+"://"+address+"/readyz", nil)
	if err != nil {
		b.markUnready(address)
		return
	}
	response, err := b.client.Do(r)
	if err != nil {
		b.markUnready(address)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, probeAnswerLimit))
	domain := identifier.FailureDomain(response.Header.Get(failureDomainHeader))
	b.setReady(address, response.StatusCode == http.StatusOK, domain)
}
