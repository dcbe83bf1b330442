// Package registrar keeps this VM's address registered in the store of the users'
// platform, so that other VMs find it. Package platform implements Store with calls
// to that store.
package registrar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// LeaseID identifies a lease that the store granted. 0 means no lease.
type LeaseID uint64

// ErrLeaseLapsed says that the store no longer knows the lease.
var ErrLeaseLapsed = errors.New("the lease has lapsed")

// Store is a store whose keys are bound to leases. A key is deleted when its lease
// lapses.
type Store interface {
	// Grant returns a new lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseLapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Put writes a key that is bound to a lease, or returns ErrLeaseLapsed.
	Put(ctx context.Context, key string, value []byte, id LeaseID) error
}

const (
	// leaseTTL is how long an address stays in the store without renewal. It outlasts
	// the usual outages of the store, during which VMs know each other anyway.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between two renewals. Two in a row may fail before the
	// lease lapses.
	renewInterval = 10 * time.Second
	// callTimeout bounds a renewal or a registration, with all its calls.
	callTimeout = 2 * time.Second
	// meanRetryPause is the mean pause after a failed call.
	meanRetryPause = time.Second
)

// Options configure a Registrar, which keeps Value under Key.
type Options struct {
	Store  Store
	Key    string
	Value  []byte
	Logger log.Logger
}

// Registrar keeps one key in the store.
type Registrar struct {
	opts  Options
	lease LeaseID
}

// New returns a Registrar. It writes nothing before Run.
func New(opts Options) *Registrar { return &Registrar{opts: opts} }

// Run keeps the key in the store until the context ends. The key lapses within
// leaseTTL afterwards. Run always returns nil.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewInterval
		if err := r.register(ctx); err != nil {
			_ = r.opts.Logger.Log("level", "warn", "msg", "address not registered", "key", r.opts.Key, "err", err)
			pause = meanRetryPause/2 + rand.N(meanRetryPause)
		}
		_ = sleeper.Sleep(ctx, pause) // the loop checks ctx
	}
	return nil
}

// register renews the lease, or writes the key under a new lease if there is none or
// it has lapsed.
func (r *Registrar) register(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease != 0 {
		err := r.opts.Store.KeepAlive(ctx, r.lease)
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
