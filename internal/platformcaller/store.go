// Package platformcaller calls peppertrack's own key-value service over /v1 and reads
// its list of VMs. Package standin/platformserver is the stand-in of the service. The
// store of the users' platform is another service, which package platform calls.
//
// The rest of peppertrack depends on Store and Lister. Client implements them over
// HTTP, for the real service or its stand-in. FakeService implements them in memory,
// with faults that tests set.
package platformcaller

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// MaxValueSize bounds the data of a value.
const MaxValueSize identifier.Bytes = 1 << 20

// MaxKeySize bounds the length of a key, in bytes.
const MaxKeySize = 512

// Revision numbers the changes to the service's keys. The revision of a key grows with
// each write as long as the key exists; 0 means that the key is absent.
type Revision uint64

// Value is the data of a key at a revision. An absent key has the zero value. Data must
// not be modified.
type Value struct {
	Data     []byte
	Revision Revision
}

// Store is a key-value service with compare-and-swap and watches. If the service is
// unavailable, a method returns *UnavailableError if it had no effect, and
// CompareAndSwap returns *OutcomeUnknownError if its write may have taken effect.
type Store interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key is at the expected revision (0: absent) and
	// returns the new revision. Otherwise it returns *ConflictError.
	CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte) (Revision, error)
	// Watch waits until the revision of the key is above after, or until the key is
	// absent if after is above 0, and returns the value. It returns the value
	// unchanged when the service's longest wait is over.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
}

// Lister lists the VMs that the service knows. The list may be outdated.
type Lister interface {
	// VMs returns the VMs in the order of their ids.
	VMs(ctx context.Context) ([]VM, error)
}
