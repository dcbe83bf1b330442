package platformcaller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// FakeCaller makes calls to a FakeService for one caller. It implements Store, Lister
// and Leaser.
type FakeCaller struct {
	service *FakeService
	caller  identifier.VMID
	domain  identifier.FailureDomain
}

var (
	_ Store  = (*FakeCaller)(nil)
	_ Lister = (*FakeCaller)(nil)
	_ Leaser = (*FakeCaller)(nil)
)

// Get implements Store.
func (c *FakeCaller) Get(ctx context.Context, key string) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "getting key %q", key) }()
	if err := c.beginCall(ctx, GetCall); err != nil {
		return Value{}, err
	}
	c.service.mu.Lock()
	v = c.service.keys[key].value
	c.service.mu.Unlock()
	return v, c.finishRead(ctx)
}

// CompareAndSwap implements Store.
func (c *FakeCaller) CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte) (Revision, error) {
	return c.CompareAndSwapLeased(ctx, key, expected, data, 0)
}

// CompareAndSwapLeased implements Leaser.
func (c *FakeCaller) CompareAndSwapLeased(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (r Revision, err error) {
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
		return &BadRequestError{Detail: "data: above 1 MiB"}
	}
	return nil
}

func (c *FakeCaller) swap(key string, expected Revision, data []byte, lease LeaseID) (Revision, error) {
	m := c.service
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
func (c *FakeCaller) Watch(ctx context.Context, key string, after Revision) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "watching key %q", key) }()
	if err := c.beginCall(ctx, WatchCall); err != nil {
		return Value{}, err
	}
	bound := time.NewTimer(c.service.maxWatchWait)
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
func (c *FakeCaller) subscribe(key string) (v Value, changed, faultsChanged chan struct{}, err error) {
	m := c.service
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := c.reachErrorLocked(); err != nil {
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
	return m.keys[key].value, changed, m.faultsChanged, nil
}

// unsubscribe undoes subscribe. The key's channel stays until the key changes if any
// watch still waits.
func (c *FakeCaller) unsubscribe(key string, changed chan struct{}) {
	m := c.service
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers--
	if m.watchers == 0 && m.changed[key] == changed {
		delete(m.changed, key)
	}
}

// Grant implements Leaser.
func (c *FakeCaller) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	defer func() { err = errors.Wrap(err, "granting a lease") }()
	if ttl < MinLeaseTTL || ttl > MaxLeaseTTL {
		return 0, &BadRequestError{Detail: "ttlMillis: out of bounds"}
	}
	if err := c.beginCall(ctx, LeaseCall); err != nil {
		return 0, err
	}
	m := c.service
	m.mu.Lock()
	if len(m.leases) >= maxLeases {
		m.mu.Unlock()
		return 0, &UnavailableError{Detail: "the service is at its bound of leases"}
	}
	m.lastLease++
	id = m.lastLease
	m.leases[id] = &fakeLease{
		ttl:      ttl,
		deadline: time.Now().Add(ttl),
		timer:    time.AfterFunc(ttl, func() { m.expireLease(id) }),
		keys:     make(map[string]struct{}),
	}
	m.mu.Unlock()
	return id, c.finishWrite(ctx)
}

// KeepAlive implements Leaser.
func (c *FakeCaller) KeepAlive(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "renewing a lease") }()
	if err := c.beginCall(ctx, LeaseCall); err != nil {
		return err
	}
	m := c.service
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
func (c *FakeCaller) Revoke(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "revoking a lease") }()
	if err := c.beginCall(ctx, LeaseCall); err != nil {
		return err
	}
	c.service.Lapse(lease)
	return c.finishWrite(ctx)
}

// VMs implements Lister.
func (c *FakeCaller) VMs(ctx context.Context) (vms []VM, err error) {
	defer func() { err = errors.Wrap(err, "listing VMs") }()
	if err := c.beginCall(ctx, ListCall); err != nil {
		return nil, err
	}
	m := c.service
	m.mu.Lock()
	vms = m.vms.list(time.Now(), m.faults.ListLag)
	m.mu.Unlock()
	return vms, c.finishRead(ctx)
}

// beginCall counts a call and simulates the faults before its effect. If the service
// becomes unreachable during the delay, a write gets no response.
func (c *FakeCaller) beginCall(ctx context.Context, kind CallKind) error {
	c.service.mu.Lock()
	c.service.countCall(c.caller, kind)
	err := c.reachErrorLocked()
	delay := c.service.faults.Delay / 2
	c.service.mu.Unlock()
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

// reachError is reachErrorLocked for callers that don't hold the service's mu.
func (c *FakeCaller) reachError() error {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.reachErrorLocked()
}

// reachErrorLocked returns an error if the service can't be reached. The caller holds
// the service's mu.
func (c *FakeCaller) reachErrorLocked() error {
	f := c.service.faults
	if f.Down {
		return &UnavailableError{Detail: "it is down"}
	}
	if f.cutsOff(c.caller, c.domain) {
		return &UnavailableError{Detail: "the caller is cut off"}
	}
	return nil
}

// finishRead simulates the faults after a read.
func (c *FakeCaller) finishRead(ctx context.Context) error {
	if err := sleeper.Sleep(ctx, c.service.Faults().Delay/2); err != nil {
		return &UnavailableError{Detail: err.Error()}
	}
	return c.reachError()
}

// finishWrite simulates the faults after a write took effect.
func (c *FakeCaller) finishWrite(ctx context.Context) error {
	m := c.service
	m.mu.Lock()
	lost := m.drawLostResponse()
	delay := m.faults.Delay / 2
	m.mu.Unlock()
	if err := sleeper.Sleep(ctx, delay); err != nil {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	if lost {
		return &OutcomeUnknownError{Detail: "the answer was lost"}
	}
	if err := c.reachError(); err != nil {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	return nil
}

// drawLostResponse reports whether the response to a write is lost, and uses up one of
// LoseResponses. The caller holds mu.
func (m *FakeService) drawLostResponse() bool {
	if m.faults.LoseResponses > 0 {
		m.faults.LoseResponses--
		return true
	}
	p := m.faults.LoseResponseProbability
	return p > 0 && m.rand.Float64() < p
}
