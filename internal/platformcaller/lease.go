package platformcaller

import (
	"context"
	"time"
)

// LeaseID names a lease that the service granted. 0 is no lease.
type LeaseID uint64

// Leaser grants leases to which keys are bound. A key vanishes when its lease
// lapses.
type Leaser interface {
	// Grant returns a new lease that lapses after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its whole time to live, or returns
	// *LeaseLapsedError.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease LeaseID) error
	// SwapLeased is Store.Swap for a key that is bound to the lease.
	SwapLeased(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error)
}

// Bounds of a lease's time to live.
const (
	MinLeaseTTL = 10 * time.Millisecond
	MaxLeaseTTL = time.Hour
)
