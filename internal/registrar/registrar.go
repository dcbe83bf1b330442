// Package registrar keeps this VM's address in the platform's store, so that
// other VMs find it.
package registrar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// LeaseID names a lease that the store granted. 0 is no lease.
type LeaseID uint64

// ErrLeaseLapsed says that the store doesn't know a lease any more.
var ErrLeaseLapsed = errors.New("the lease has lapsed")

// Store keeps values under leases.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Keep(ctx context.Context, id LeaseID) error
	Put(ctx context.Context, key string, value []byte, id LeaseID) error
}

const (
	// leaseTTL is how long an address outlives its VM: long enough for usual
	// outages of the store, during which VMs know each other anyway.
	leaseTTL = 30 * time.Second
	// keepInterval leaves room for two failed renewals.
	keepInterval = 10 * time.Second
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
	// retryPause is the mean pause after a failed call.
	retryPause = time.Second
)

// Options configure a Registrar.
type Options struct {
	Store  Store
	Key    string
	Value  []byte
	Logger log.Logger
}

// Registrar keeps one key.
type Registrar struct {
	opts  Options
	lease LeaseID
}

// New returns a Registrar that has written nothing yet.
func New(opts Options) *Registrar { return &Registrar{opts: opts} }

// Run keeps the key until the context ends. The key lapses some time after.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := keepInterval
		if err := r.keep(ctx); err != nil {
			_ = r.opts.Logger.Log("level", "warn", "msg", "address not registered", "key", r.opts.Key, "err", err)
			pause = retryPause/2 + rand.N(retryPause)
		}
		_ = sleeper.Sleep(ctx, pause) // the loop sees the end of ctx
	}
	return nil
}

// keep renews the lease, or writes the key under a new one.
func (r *Registrar) keep(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease != 0 {
		err := r.opts.Store.Keep(ctx, r.lease)
		if !errors.Is(err, ErrLeaseLapsed) {
			return err
		}
		r.lease = 0
	}
	lease, err := r.opts.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := r.opts.Store.Put(ctx, r.opts.Key, r.opts.Value, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}
