package platformcaller

import (
	"context"
	"time"
)

// LeaseID identifies a lease that the service granted. 0 means no lease.
type LeaseID uint64

// Leaser grants leases and binds keys to them. A key is deleted when its lease lapses.
type Leaser interface {
	// Grant returns a new lease that lapses after ttl unless it is kept alive. The
	// ttl must be from MinLeaseTTL to MaxLeaseTTL.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live, or returns
	// *LeaseLapsedError.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease LeaseID) error
	// CompareAndSwapLeased is Store.CompareAndSwap that also binds the key to the lease.
	// It returns *LeaseLapsedError if the lease has lapsed.
	CompareAndSwapLeased(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error)
}

// Bounds of a lease's time to live.
const (
	MinLeaseTTL = 10 * time.Millisecond
	MaxLeaseTTL = time.Hour
)
