package platformcaller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// MemoryCaller is one caller's view of a Memory. It implements Store, Lister
// and Leaser.
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
	if err := c.enter(ctx, GetCall); err != nil {
		return Value{}, err
	}
	c.memory.mu.Lock()
	v = c.memory.keys[key].value
	c.memory.mu.Unlock()
	return v, c.leaveRead(ctx)
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
	if err := c.enter(ctx, SwapCall); err != nil {
		return 0, err
	}
	r, err = c.swap(key, expected, data, lease)
	if err != nil {
		return 0, err
	}
	if err := c.leaveWrite(ctx); err != nil {
		return 0, err
	}
	return r, nil
}

func checkWrite(key string, data []byte) error {
	if key == "" || len(key) > MaxKeySize {
		return &BadRequestError{Detail: "key: need 1 to 512 bytes"}
	}
	if len(data) > int(MaxValueSize) {
		return &BadRequestError{Detail: "data: above 1 MiB"}
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
		return 0, &UnavailableError{Detail: "the service is at its bound of keys"}
	}
	if lease != 0 && m.leases[lease] == nil {
		return 0, &LeaseLapsedError{Lease: lease}
	}
	return m.write(key, append([]byte(nil), data...), lease), nil
}

// Watch implements Store.
func (c *MemoryCaller) Watch(ctx context.Context, key string, after Revision) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "watching key %q", key) }()
	if err := c.enter(ctx, WatchCall); err != nil {
		return Value{}, err
	}
	bound := time.NewTimer(c.memory.watchBound)
	defer bound.Stop()
	for waiting := true; ; {
		v, changed, disturbed, err := c.look(key)
		if err != nil {
			return Value{}, err
		}
		if v.Revision > after || (v.Revision == 0 && after > 0) || !waiting {
			c.stopLooking(key, changed)
			return v, c.leaveRead(ctx)
		}
		select {
		case <-changed:
		case <-disturbed:
		case <-bound.C:
			waiting = false
		case <-ctx.Done():
			c.stopLooking(key, changed)
			return Value{}, &UnavailableError{Detail: ctx.Err().Error()}
		}
		c.stopLooking(key, changed)
	}
}

// look returns the value of a key and channels that are closed when the key
// changes and when the faults do.
func (c *MemoryCaller) look(key string) (v Value, changed, disturbed chan struct{}, err error) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := c.reach(); err != nil {
		return Value{}, nil, nil, err
	}
	if m.watchers >= maxWatchers {
		return Value{}, nil, nil, &UnavailableError{Detail: "the service is at its bound of watches"}
	}
	m.watchers++
	changed, ok := m.changed[key]
	if !ok {
		changed = make(chan struct{})
		m.changed[key] = changed
	}
	return m.keys[key].value, changed, m.disturbed, nil
}

// stopLooking releases what look took. A channel that another watch still waits
// on stays until the key changes.
func (c *MemoryCaller) stopLooking(key string, changed chan struct{}) {
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
	if err := c.enter(ctx, LeaseCall); err != nil {
		return 0, err
	}
	m := c.memory
	m.mu.Lock()
	if len(m.leases) >= maxLeases {
		m.mu.Unlock()
		return 0, &UnavailableError{Detail: "the service is at its bound of leases"}
	}
	m.lastLease++
	id = m.lastLease
	m.leases[id] = &memoryLease{
		ttl:      ttl,
		deadline: time.Now().Add(ttl),
		timer:    time.AfterFunc(ttl, func() { m.expire(id) }),
		keys:     make(map[string]struct{}),
	}
	m.mu.Unlock()
	return id, c.leaveWrite(ctx)
}

// KeepAlive implements Leaser.
func (c *MemoryCaller) KeepAlive(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "renewing a lease") }()
	if err := c.enter(ctx, LeaseCall); err != nil {
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
	return c.leaveWrite(ctx)
}

// Revoke implements Leaser.
func (c *MemoryCaller) Revoke(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "revoking a lease") }()
	if err := c.enter(ctx, LeaseCall); err != nil {
		return err
	}
	c.memory.Lapse(lease)
	return c.leaveWrite(ctx)
}

// VMs implements Lister.
func (c *MemoryCaller) VMs(ctx context.Context) (vms []VM, err error) {
	defer func() { err = errors.Wrap(err, "listing VMs") }()
	if err := c.enter(ctx, ListCall); err != nil {
		return nil, err
	}
	m := c.memory
	m.mu.Lock()
	vms = m.vms.list(time.Now(), m.faults.ListLag)
	m.mu.Unlock()
	return vms, c.leaveRead(ctx)
}

// enter counts a call and applies the faults that come before its effect. A
// write that the service goes down on meanwhile gets no answer.
func (c *MemoryCaller) enter(ctx context.Context, kind CallKind) error {
	c.memory.mu.Lock()
	c.memory.count(c.caller, kind)
	err := c.reach()
	delay := c.memory.faults.Delay / 2
	c.memory.mu.Unlock()
	if err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, delay); err != nil {
		return &UnavailableError{Detail: err.Error()}
	}
	err = c.reachNow()
	if err != nil && (kind == SwapCall || kind == LeaseCall) {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	return err
}

// reachNow is reach for a caller that does not hold the memory's mu.
func (c *MemoryCaller) reachNow() error {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.reach()
}

// reach returns an error if the caller can't reach the service. The caller
// holds the memory's mu.
func (c *MemoryCaller) reach() error {
	f := c.memory.faults
	if f.Down {
		return &UnavailableError{Detail: "it is down"}
	}
	if f.cuts(c.caller, c.domain) {
		return &UnavailableError{Detail: "the caller is cut off"}
	}
	return nil
}

// leaveRead applies the faults that come after a read.
func (c *MemoryCaller) leaveRead(ctx context.Context) error {
	if err := sleeper.Sleep(ctx, c.memory.Faults().Delay/2); err != nil {
		return &UnavailableError{Detail: err.Error()}
	}
	return c.reachNow()
}

// leaveWrite applies the faults that come after a write's effect.
func (c *MemoryCaller) leaveWrite(ctx context.Context) error {
	m := c.memory
	m.mu.Lock()
	lost := m.drawLostAnswer()
	delay := m.faults.Delay / 2
	m.mu.Unlock()
	if err := sleeper.Sleep(ctx, delay); err != nil {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	if lost {
		return &OutcomeUnknownError{Detail: "the answer was lost"}
	}
	if err := c.reachNow(); err != nil {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	return nil
}

// drawLostAnswer decides whether the answer of a write is lost. The caller
// holds mu.
func (m *Memory) drawLostAnswer() bool {
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return true
	}
	p := m.faults.LoseAnswerProbability
	return p > 0 && m.rand.Float64() < p
}
