// Package platformcaller calls the platform's key-value service and its list of
// VMs.
//
// Store and Lister are what the rest of peppertrack depends on. Client speaks
// HTTP to the real service or to its stand-in, and Memory is the service in
// memory with faults that tests set.
package platformcaller

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// MaxValueSize bounds the data of a value.
const MaxValueSize identifier.Bytes = 1 << 20

// MaxKeySize bounds the length of a key, in bytes.
const MaxKeySize = 512

// Revision numbers the changes to the service's keys. A key's revision only
// grows while the key exists; 0 says that the key is absent.
type Revision uint64

// Value is the data of a key at a revision. The zero value is that of an absent
// key. Data must not be changed.
type Value struct {
	Data     []byte
	Revision Revision
}

// Store is a key-value service with compare-and-swap and watches. Its methods
// return *UnavailableError when they had no effect, and Swap returns
// *OutcomeUnknownError when its write may have taken effect.
type Store interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes data if the key is at the expected revision (0: is absent)
	// and returns the new revision, else *ConflictError.
	Swap(ctx context.Context, key string, expected Revision, data []byte) (Revision, error)
	// Watch returns the value once its revision is above after, once the key
	// that was at after is absent, or unchanged when the service's bound on
	// waiting passes.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
}

// Lister lists the VMs that the platform knows. The list lags behind.
type Lister interface {
	// VMs returns the VMs ordered by their ids.
	VMs(ctx context.Context) ([]VM, error)
}
