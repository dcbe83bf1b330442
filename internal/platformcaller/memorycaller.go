package platformcaller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// MemoryCaller makes calls to a Memory for one caller. It implements Store, Lister and
// Leaser.
type MemoryCaller struct {
	memory *Memory
	caller identifier.VMID
	domain identifier.FailureDomain
}

var (
	_ Store  = (*MemoryCaller)(nil)
	_ Lister = (*MemoryCaller)(nil)
	_ Leaser = (*MemoryCaller)(nil)
)

// Get implements Store.
func (c *MemoryCaller) Get(ctx context.Context, key string) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "getting key %q", key) }()
	if err := c.beginCall(ctx, GetCall); err != nil {
		return Value{}, err
	}
	c.memory.mu.Lock()
	v = c.memory.keys[key].value
	c.memory.mu.Unlock()
	return v, c.finishRead(ctx)
}

// Swap implements Store.
func (c *MemoryCaller) Swap(ctx context.Context, key string, expected Revision, data []byte) (Revision, error) {
	return c.SwapLeased(ctx, key, expected, data, 0)
}

// SwapLeased implements Leaser.
func (c *MemoryCaller) SwapLeased(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (r Revision, err error) {
	defer func() { err = errors.Wrapf(err, "writing key %q", key) }()
	if err := checkWrite(key, data); err != nil {
		return 0, err
	}
	if err := c.beginCall(ctx, SwapCall); err != nil {
		return 0, err
	}
	r, err = c.swap(key, expected, data, lease)
	if err != nil {
		return 0, err
	}
	if err := c.finishWrite(ctx); err != nil {
		return 0, err
	}
	return r, nil
}

func checkWrite(key string, data []byte) error {
	if key == "" || len(key) > MaxKeySize {
		return &BadRequestError{Detail: "key: need 1 to 512 bytes"}
	}
	if len(data) > int(MaxValueSize) {
		return &BadRequestError{Detail: "data: need at most 1 MiB"}
	}
	return nil
}

func (c *MemoryCaller) swap(key string, expected Revision, data []byte, lease LeaseID) (Revision, error) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	current, known := m.keys[key]
	if current.value.Revision != expected {
		return 0, &ConflictError{Current: current.value}
	}
	if !known && len(m.keys) >= maxKeys {
		return 0, &UnavailableError{Detail: "the service has the maximum number of keys"}
	}
	if lease != 0 && m.leases[lease] == nil {
		return 0, &LeaseLapsedError{Lease: lease}
	}
	return m.write(key, append([]byte(nil), data...), lease), nil
}

// Watch implements Store.
func (c *MemoryCaller) Watch(ctx context.Context, key string, after Revision) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "watching key %q", key) }()
	if err := c.beginCall(ctx, WatchCall); err != nil {
		return Value{}, err
	}
	bound := time.NewTimer(c.memory.watchBound)
	defer bound.Stop()
	for waiting := true; ; {
		v, changed, faultsChanged, err := c.subscribe(key)
		if err != nil {
			return Value{}, err
		}
		if v.Revision > after || (v.Revision == 0 && after > 0) || !waiting {
			c.unsubscribe(key, changed)
			return v, c.finishRead(ctx)
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-bound.C:
			waiting = false
		case <-ctx.Done():
			c.unsubscribe(key, changed)
			return Value{}, &UnavailableError{Detail: ctx.Err().Error()}
		}
		c.unsubscribe(key, changed)
	}
}

// subscribe returns the value of a key and channels that are closed when the key
// changes and when the faults change.
func (c *MemoryCaller) subscribe(key string) (v Value, changed, faultsChanged chan struct{}, err error) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := c.reachErrorLocked(); err != nil {
		return Value{}, nil, nil, err
	}
	if m.watchers >= maxWatchers {
		return Value{}, nil, nil, &UnavailableError{Detail: "the service has the maximum number of watches"}
	}
	m.watchers++
	changed, ok := m.changed[key]
	if !ok {
		changed = make(chan struct{})
		m.changed[key] = changed
	}
	return m.keys[key].value, changed, m.faultsChanged, nil
}

// unsubscribe undoes subscribe. The key's channel stays until the key changes if any
// watch still waits.
func (c *MemoryCaller) unsubscribe(key string, changed chan struct{}) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers--
	if m.watchers == 0 && m.changed[key] == changed {
		delete(m.changed, key)
	}
}

// Grant implements Leaser.
func (c *MemoryCaller) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	defer func() { err = errors.Wrap(err, "granting a lease") }()
	if ttl < MinLeaseTTL || ttl > MaxLeaseTTL {
		return 0, &BadRequestError{Detail: "ttlMillis: out of bounds"}
	}
	if err := c.beginCall(ctx, LeaseCall); err != nil {
		return 0, err
	}
	m := c.memory
	m.mu.Lock()
	if len(m.leases) >= maxLeases {
		m.mu.Unlock()
		return 0, &UnavailableError{Detail: "the service has the maximum number of leases"}
	}
	m.lastLease++
	id = m.lastLease
	m.leases[id] = &memoryLease{
		ttl:      ttl,
		deadline: time.Now().Add(ttl),
		timer:    time.AfterFunc(ttl, func() { m.expireLease(id) }),
		keys:     make(map[string]struct{}),
	}
	m.mu.Unlock()
	return id, c.finishWrite(ctx)
}

// KeepAlive implements Leaser.
func (c *MemoryCaller) KeepAlive(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "renewing a lease") }()
	if err := c.beginCall(ctx, LeaseCall); err != nil {
		return err
	}
	m := c.memory
	m.mu.Lock()
	l, ok := m.leases[lease]
	if ok {
		l.deadline = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
	}
	m.mu.Unlock()
	if !ok {
		return &LeaseLapsedError{Lease: lease}
	}
	return c.finishWrite(ctx)
}

// Revoke implements Leaser.
func (c *MemoryCaller) Revoke(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "revoking a lease") }()
	if err := c.beginCall(ctx, LeaseCall); err != nil {
		return err
	}
	c.memory.Lapse(lease)
	return c.finishWrite(ctx)
}

// VMs implements Lister.
func (c *MemoryCaller) VMs(ctx context.Context) (vms []VM, err error) {
	defer func() { err = errors.Wrap(err, "listing VMs") }()
	if err := c.beginCall(ctx, ListCall); err != nil {
		return nil, err
	}
	m := c.memory
	m.mu.Lock()
	vms = m.vms.list(time.Now(), m.faults.ListLag)
	m.mu.Unlock()
	return vms, c.finishRead(ctx)
}

// beginCall counts a call and simulates the faults before its effect. If the service
// becomes unreachable during the delay, a write gets no response.
func (c *MemoryCaller) beginCall(ctx context.Context, kind CallKind) error {
	c.memory.mu.Lock()
	c.memory.countCall(c.caller, kind)
	err := c.reachErrorLocked()
	delay := c.memory.faults.Delay / 2
	c.memory.mu.Unlock()
	if err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, delay); err != nil {
		return &UnavailableError{Detail: err.Error()}
	}
	err = c.reachError()
	if err != nil && (kind == SwapCall || kind == LeaseCall) {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	return err
}

// reachError is reachErrorLocked for callers that don't hold the memory's mu.
func (c *MemoryCaller) reachError() error {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.reachErrorLocked()
}

// reachErrorLocked returns an error if the service can't be reached. The caller holds
// the memory's mu.
func (c *MemoryCaller) reachErrorLocked() error {
	f := c.memory.faults
	if f.Down {
		return &UnavailableError{Detail: "it is down"}
	}
	if f.cutsOff(c.caller, c.domain) {
		return &UnavailableError{Detail: "the caller is cut off"}
	}
	return nil
}

// finishRead simulates the faults after a read.
func (c *MemoryCaller) finishRead(ctx context.Context) error {
	if err := sleeper.Sleep(ctx, c.memory.Faults().Delay/2); err != nil {
		return &UnavailableError{Detail: err.Error()}
	}
	return c.reachError()
}

// finishWrite simulates the faults after a write took effect.
func (c *MemoryCaller) finishWrite(ctx context.Context) error {
	m := c.memory
	m.mu.Lock()
	lost := m.drawLostResponse()
	delay := m.faults.Delay / 2
	m.mu.Unlock()
	if err := sleeper.Sleep(ctx, delay); err != nil {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	if lost {
		return &OutcomeUnknownError{Detail: "the response was lost"}
	}
	if err := c.reachError(); err != nil {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	return nil
}

// drawLostResponse reports whether the response to a write is lost, and uses up one of
// LoseAnswers. The caller holds mu.
func (m *Memory) drawLostResponse() bool {
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return true
	}
	p := m.faults.LoseAnswerProbability
	return p > 0 && m.rand.Float64() < p
}
