package platformcaller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of a Memory.
const (
	maxKeys     = 1 << 16
	maxWatchers = 1 << 13
	maxLeases   = 1 << 16
	maxCallers  = 1 << 12
)

// DefaultWatchBound is how long a watch waits for a change.
const DefaultWatchBound = 30 * time.Second

// MemoryOptions are the options of a Memory.
type MemoryOptions struct {
	WatchBound time.Duration // 0 takes DefaultWatchBound
	ListLag    time.Duration
	Seed       uint64 // of the faults that come by chance
}

// Memory is the platform's service in memory. It is itself a Store and a Lister
// for an unnamed caller; As gives the view of a named one. It uses the clock of
// the runtime alone, no socket.
type Memory struct {
	*MemoryCaller

	watchBound time.Duration

	mu        sync.Mutex
	revision  Revision
	keys      map[string]memoryKey
	changed   map[string]chan struct{} // closed when the key changes; there while a watch waits
	watchers  int
	leases    map[LeaseID]*memoryLease
	lastLease LeaseID
	vms       vmTable
	faults    Faults
	disturbed chan struct{} // closed when the faults are set
	rand      *rand.Rand
	counters  map[identifier.VMID]*Counters
}

type memoryKey struct {
	value Value
	lease LeaseID
}

type memoryLease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// NewMemory returns an empty service without faults.
func NewMemory(opts MemoryOptions) *Memory {
	if opts.WatchBound == 0 {
		opts.WatchBound = DefaultWatchBound
	}
	m := &Memory{
		watchBound: opts.WatchBound,
		keys:       make(map[string]memoryKey),
		changed:    make(map[string]chan struct{}),
		leases:     make(map[LeaseID]*memoryLease),
		vms:        newVMTable(),
		faults:     Faults{ListLag: opts.ListLag},
		disturbed:  make(chan struct{}),
		rand:       rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		counters:   make(map[identifier.VMID]*Counters),
	}
	m.MemoryCaller = m.As("", "")
	return m
}

// As returns the service as the caller in the failure domain sees it.
func (m *Memory) As(caller identifier.VMID, domain identifier.FailureDomain) *MemoryCaller {
	return &MemoryCaller{memory: m, caller: caller, domain: domain}
}

// Close ends all leases' timers and fails the watches that wait.
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

// SetFaults replaces the faults. Watches that wait fail if the new faults keep
// their callers from the service.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.disturbed)
	m.disturbed = make(chan struct{})
}

// Lapse lets a lease lapse at once, as if its holder had been paused.
func (m *Memory) Lapse(lease LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(lease)
}

// expire ends a lease that wasn't renewed in time.
func (m *Memory) expire(lease LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.leases[lease]; ok && !time.Now().Before(l.deadline) {
		m.endLease(lease)
	}
}

// Counters returns the counts of calls by caller.
func (m *Memory) Counters() map[identifier.VMID]Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	counters := make(map[identifier.VMID]Counters, len(m.counters))
	for caller, c := range m.counters {
		counters[caller] = *c
	}
	return counters
}

// Register adds VMs to the list or changes them. They are gone after ttl unless
// they are registered again; ttl 0 keeps them until they are removed.
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

// Remove takes VMs from the list.
func (m *Memory) Remove(_ context.Context, ids []string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		m.vms.remove(now, id)
	}
	return nil
}

// write changes a key and wakes its watches. The caller holds mu.
func (m *Memory) write(key string, data []byte, lease LeaseID) Revision {
	m.unbind(key)
	m.revision++
	m.keys[key] = memoryKey{value: Value{Data: data, Revision: m.revision}, lease: lease}
	if l, ok := m.leases[lease]; ok {
		l.keys[key] = struct{}{}
	}
	m.wake(key)
	return m.revision
}

func (m *Memory) unbind(key string) {
	if l, ok := m.leases[m.keys[key].lease]; ok {
		delete(l.keys, key)
	}
}

func (m *Memory) wake(key string) {
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
		m.wake(key)
	}
}

// count counts a call. The caller holds mu.
func (m *Memory) count(caller identifier.VMID, kind CallKind) {
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
