package jobsubmitter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Submitter sends requests to the entry VMs. It is safe for concurrent use.
type Submitter struct {
	opts     Options
	client   *http.Client
	balancer *balancer
	budget   *retryBudget

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Submitter after one probe of each entry VM's readiness. It probes
// them at intervals until Close.
func New(ctx context.Context, opts Options) (s *Submitter, err error) {
	defer func() { err = errors.Wrap(err, "starting the submitter") }()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	s = &Submitter{
		opts:     opts,
		client:   &http.Client{Transport: opts.Transport},
		balancer: newBalancer(opts, rand.New(rand.NewPCG(opts.Seed, 1))),
		budget:   newRetryBudget(),
		rng:      rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	s.probeAll(ctx)
	probeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	for _, address := range s.balancer.addresses() {
		s.wg.Go(func() { s.balancer.probeRepeatedly(probeCtx, address, opts.ProbeInterval) })
	}
	return s, nil
}

// Close ends the readiness probes and waits for them.
func (s *Submitter) Close() {
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

func (s *Submitter) probeAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, address := range s.balancer.addresses() {
		wg.Go(func() { s.balancer.probe(ctx, address) })
	}
	wg.Wait()
}

// backoff returns the random pause after the given attempt.
func (s *Submitter) backoff(attempt int) time.Duration {
	ceiling := s.opts.MaxBackoff
	if shift := attempt - 1; shift < 32 {
		ceiling = min(ceiling, s.opts.Backoff<<shift)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(ceiling) + 1))
}

// addJitter adds up to a fifth to a pause, so that callers don't retry together.
func (s *Submitter) addJitter(pause time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pause + time.Duration(s.rng.Int64N(int64(pause)/5+1))
}
