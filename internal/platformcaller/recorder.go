package platformcaller

import (
	"context"
	"sync"
)

// CallKind is the kind of a call.
type CallKind string

// The kinds of calls.
const (
	GetCall   CallKind = "get"
	SwapCall  CallKind = "swap"
	WatchCall CallKind = "watch"
	LeaseCall CallKind = "lease"
	ListCall  CallKind = "list"
)

// Call is a call that a Recorder passed on, with its result.
type Call struct {
	Kind     CallKind
	Key      string
	Revision Revision // expected by a swap; after which a watch waits
	Result   Revision // of the value that was read or written
	Err      error
}

// maxRecordedCalls bounds the calls that a Recorder keeps. It drops the oldest first.
const maxRecordedCalls = 4096

// Recorder passes calls on to a Store and a Lister, records the latest ones and counts
// all.
type Recorder struct {
	store  Store
	lister Lister

	mu       sync.Mutex
	calls    []Call
	counters Counters
}

// NewRecorder returns a Recorder for a store and a lister. The lister may be nil if VMs
// is never called.
func NewRecorder(store Store, lister Lister) *Recorder {
	return &Recorder{store: store, lister: lister}
}

// Get implements Store.
func (r *Recorder) Get(ctx context.Context, key string) (Value, error) {
	v, err := r.store.Get(ctx, key)
	r.record(Call{Kind: GetCall, Key: key, Result: v.Revision, Err: err})
	return v, err
}

// CompareAndSwap implements Store.
func (r *Recorder) CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte) (Revision, error) {
	result, err := r.store.CompareAndSwap(ctx, key, expected, data)
	r.record(Call{Kind: SwapCall, Key: key, Revision: expected, Result: result, Err: err})
	return result, err
}

// Watch implements Store.
func (r *Recorder) Watch(ctx context.Context, key string, after Revision) (Value, error) {
	v, err := r.store.Watch(ctx, key, after)
	r.record(Call{Kind: WatchCall, Key: key, Revision: after, Result: v.Revision, Err: err})
	return v, err
}

// VMs implements Lister.
func (r *Recorder) VMs(ctx context.Context) ([]VM, error) {
	vms, err := r.lister.VMs(ctx)
	r.record(Call{Kind: ListCall, Err: err})
	return vms, err
}

// Calls returns the recorded calls, oldest first.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// Counters returns the counts of all calls, including those no longer recorded.
func (r *Recorder) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

func (r *Recorder) record(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.add(c.Kind)
	if len(r.calls) == maxRecordedCalls {
		r.calls = append(r.calls[:0], r.calls[1:]...)
	}
	r.calls = append(r.calls, c)
}
