package platformcaller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Limits of a Memory.
const (
	maxKeys     = 1 << 16
	maxWatchers = 1 << 13
	maxLeases   = 1 << 16
	maxCallers  = 1 << 12
)

// DefaultWatchBound is the default of how long a watch waits for a change.
const DefaultWatchBound = 30 * time.Second

// MemoryOptions configure a Memory.
type MemoryOptions struct {
	WatchBound time.Duration // the longest wait of a watch; 0 means DefaultWatchBound
	ListLag    time.Duration // initial Faults.ListLag
	Seed       uint64        // of the random faults
}

// Memory is a fake of the platform's service that keeps its state in memory. It is a
// Store, a Lister and a Leaser for an unnamed caller; As returns the same for a named
// one. It uses the runtime's clock and no sockets.
type Memory struct {
	*MemoryCaller

	watchBound time.Duration

	mu            sync.Mutex
	revision      Revision
	keys          map[string]memoryEntry
	changed       map[string]chan struct{} // by key: closed when it changes; present while a watch waits for it
	watchers      int
	leases        map[LeaseID]*memoryLease
	lastLease     LeaseID
	vms           vmTable
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults are set
	rand          *rand.Rand
	counters      map[identifier.VMID]*Counters
}

type memoryEntry struct {
	value Value
	lease LeaseID
}

type memoryLease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// NewMemory returns an empty service without faults except for the list's lag.
func NewMemory(opts MemoryOptions) *Memory {
	if opts.WatchBound == 0 {
		opts.WatchBound = DefaultWatchBound
	}
	m := &Memory{
		watchBound:    opts.WatchBound,
		keys:          make(map[string]memoryEntry),
		changed:       make(map[string]chan struct{}),
		leases:        make(map[LeaseID]*memoryLease),
		vms:           newVMTable(),
		faults:        Faults{ListLag: opts.ListLag},
		faultsChanged: make(chan struct{}),
		rand:          rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		counters:      make(map[identifier.VMID]*Counters),
	}
	m.MemoryCaller = m.As("", "")
	return m
}

// As returns the service for a caller in a failure domain.
func (m *Memory) As(caller identifier.VMID, domain identifier.FailureDomain) *MemoryCaller {
	return &MemoryCaller{memory: m, caller: caller, domain: domain}
}

// Close stops the timers of all leases and fails the waiting watches.
func (m *Memory) Close() {
	m.SetFaults(Faults{Down: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leases {
		l.timer.Stop()
	}
}

// Faults returns the faults that are set.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the faults. Waiting watches fail if the new faults cut their
// callers off.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.faultsChanged)
	m.faultsChanged = make(chan struct{})
}

// Lapse lets a lease lapse at once, as if its holder had been paused and had
// not renewed it.
func (m *Memory) Lapse(lease LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(lease)
}

// expireLease ends a lease that was not renewed in time.
func (m *Memory) expireLease(lease LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.leases[lease]; ok && !time.Now().Before(l.deadline) {
		m.endLease(lease)
	}
}

// Counters returns the call counts by caller. Callers beyond maxCallers are counted
// together under "".
func (m *Memory) Counters() map[identifier.VMID]Counters {
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
func (m *Memory) Register(_ context.Context, vms []VM, ttl time.Duration) (err error) {
	defer func() { err = errors.Wrap(err, "registering VMs") }()
	for _, vm := range vms {
		if err := vm.Check(); err != nil {
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
func (m *Memory) Remove(_ context.Context, ids []string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		m.vms.remove(now, id)
	}
	return nil
}

// write writes a key, binds it to the lease and wakes its watches. The caller holds mu.
func (m *Memory) write(key string, data []byte, lease LeaseID) Revision {
	m.unbind(key)
	m.revision++
	m.keys[key] = memoryEntry{value: Value{Data: data, Revision: m.revision}, lease: lease}
	if l, ok := m.leases[lease]; ok {
		l.keys[key] = struct{}{}
	}
	m.wakeWatches(key)
	return m.revision
}

// unbind unbinds a key from its lease, if any. The caller holds mu.
func (m *Memory) unbind(key string) {
	if l, ok := m.leases[m.keys[key].lease]; ok {
		delete(l.keys, key)
	}
}

// wakeWatches wakes the watches of a key. The caller holds mu.
func (m *Memory) wakeWatches(key string) {
	if c, ok := m.changed[key]; ok {
		close(c)
		delete(m.changed, key)
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (m *Memory) endLease(id LeaseID) {
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
func (m *Memory) countCall(caller identifier.VMID, kind CallKind) {
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
