package platformcaller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Limits of a FakeService.
const (
	maxKeys     = 1 << 16
	maxWatchers = 1 << 13
	maxLeases   = 1 << 16
	maxCallers  = 1 << 12
)

// DefaultMaxWatchWait is the default of how long a watch waits for a change.
const DefaultMaxWatchWait = 30 * time.Second

// FakeOptions configure a FakeService.
type FakeOptions struct {
	MaxWatchWait time.Duration // the longest wait of a watch; 0 means DefaultMaxWatchWait
	ListLag      time.Duration // initial Faults.ListLag
	Seed         uint64        // of the random faults
}

// FakeService is a fake of the service that keeps its state in memory. It is
// a Store, a Lister and a Leaser for an unnamed caller; CallerView returns the same for
// a named one. It uses the runtime's clock and no sockets.
type FakeService struct {
	*FakeCaller

	maxWatchWait time.Duration

	mu            sync.Mutex
	revision      Revision
	keys          map[string]fakeEntry
	changed       map[string]chan struct{} // by key: closed when it changes; present while a watch waits for it
	watchers      int
	leases        map[LeaseID]*fakeLease
	lastLease     LeaseID
	vms           vmTable
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults are set
	rand          *rand.Rand
	counters      map[identifier.VMID]*Counters
}

type fakeEntry struct {
	value Value
	lease LeaseID
}

type fakeLease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// NewFakeService returns an empty service without faults except for the list's lag.
func NewFakeService(opts FakeOptions) *FakeService {
	if opts.MaxWatchWait == 0 {
		opts.MaxWatchWait = DefaultMaxWatchWait
	}
	m := &FakeService{
		maxWatchWait:  opts.MaxWatchWait,
		keys:          make(map[string]fakeEntry),
		changed:       make(map[string]chan struct{}),
		leases:        make(map[LeaseID]*fakeLease),
		vms:           newVMTable(),
		faults:        Faults{ListLag: opts.ListLag},
		faultsChanged: make(chan struct{}),
		rand:          rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		counters:      make(map[identifier.VMID]*Counters),
	}
	m.FakeCaller = m.CallerView("", "")
	return m
}

// CallerView returns the service for a caller in a failure domain.
func (m *FakeService) CallerView(caller identifier.VMID, domain identifier.FailureDomain) *FakeCaller {
	return &FakeCaller{service: m, caller: caller, domain: domain}
}

// Close stops the timers of all leases and fails the waiting watches.
func (m *FakeService) Close() {
	m.SetFaults(Faults{Down: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leases {
		l.timer.Stop()
	}
}

// Faults returns the faults that are set.
func (m *FakeService) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the faults. Waiting watches fail if the new faults cut their
// callers off.
func (m *FakeService) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.faultsChanged)
	m.faultsChanged = make(chan struct{})
}

// Lapse lets a lease lapse at once, as if its holder had been paused and had
// not renewed it.
func (m *FakeService) Lapse(lease LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(lease)
}

// expireLease ends a lease that was not renewed in time.
func (m *FakeService) expireLease(lease LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.leases[lease]; ok && !time.Now().Before(l.deadline) {
		m.endLease(lease)
	}
}

// Counters returns the call counts by caller. Callers beyond maxCallers are counted
// together under "".
func (m *FakeService) Counters() map[identifier.VMID]Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	counters := make(map[identifier.VMID]Counters, len(m.counters))
	for caller, c := range m.counters {
		counters[caller] = *c
	}
	return counters
}

// Register adds VMs to the list or replaces them. They are removed after ttl unless
// they are registered again; ttl 0 keeps them until Remove.
func (m *FakeService) Register(_ context.Context, vms []VM, ttl time.Duration) (err error) {
	defer func() { err = errors.Wrap(err, "registering VMs") }()
	for _, vm := range vms {
		if err := vm.Validate(); err != nil {
			return &BadRequestError{Detail: err.Error()}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, vm := range vms {
		if err := m.vms.register(now, vm, ttl); err != nil {
			return err
		}
	}
	return nil
}

// Remove removes VMs from the list.
func (m *FakeService) Remove(_ context.Context, ids []string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		m.vms.remove(now, id)
	}
	return nil
}

// write writes a key, binds it to the lease and wakes its watches. The caller holds mu.
func (m *FakeService) write(key string, data []byte, lease LeaseID) Revision {
	m.unbind(key)
	m.revision++
	m.keys[key] = fakeEntry{value: Value{Data: data, Revision: m.revision}, lease: lease}
	if l, ok := m.leases[lease]; ok {
		l.keys[key] = struct{}{}
	}
	m.wakeWatches(key)
	return m.revision
}

// unbind unbinds a key from its lease, if any. The caller holds mu.
func (m *FakeService) unbind(key string) {
	if l, ok := m.leases[m.keys[key].lease]; ok {
		delete(l.keys, key)
	}
}

// wakeWatches wakes the watches of a key. The caller holds mu.
func (m *FakeService) wakeWatches(key string) {
	if c, ok := m.changed[key]; ok {
		close(c)
		delete(m.changed, key)
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (m *FakeService) endLease(id LeaseID) {
	l, ok := m.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(m.leases, id)
	m.revision++
	for key := range l.keys {
		delete(m.keys, key)
		m.wakeWatches(key)
	}
}

// countCall counts a call. The caller holds mu.
func (m *FakeService) countCall(caller identifier.VMID, kind CallKind) {
	c, ok := m.counters[caller]
	if !ok {
		if len(m.counters) >= maxCallers {
			caller = ""
		}
		if c, ok = m.counters[caller]; !ok {
			c = &Counters{}
			m.counters[caller] = c
		}
	}
	c.add(kind)
}
