package backendcaller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// connPool holds the connections to one backend server.
type connPool struct {
	caller  *Caller
	address string

	mu       sync.Mutex
	conns    []*http.ClientConn
	next     int
	pending  *pendingDial // nil while no connection is being dialed
	failedAt time.Time
	failure  error
}

// pendingDial is a dial in progress, for which several requests may wait.
type pendingDial struct {
	done chan struct{}
	conn *http.ClientConn
	err  error
}

// conn returns a connection that has already answered a request, or dials one. An
// error means that nothing was sent for the request.
func (p *connPool) conn(ctx context.Context) (c *http.ClientConn, err error) {
	p.mu.Lock()
	c, d := p.pick()
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pick returns an open connection, or a pending dial. The caller holds mu.
func (p *connPool) pick() (*http.ClientConn, *pendingDial) {
	p.prune()
	if n := len(p.conns); n > 0 && (n >= p.caller.opts.ConnectionsPerServer || p.pending != nil || !p.allBusy()) {
		p.next = (p.next + 1) % n
		return p.conns[p.next], nil
	}
	if p.pending != nil {
		return nil, p.pending
	}
	if p.failure != nil && time.Since(p.failedAt) < p.caller.opts.ReconnectDelay {
		done := make(chan struct{})
		close(done)
		return nil, &pendingDial{done: done, err: p.failure}
	}
	d := &pendingDial{done: make(chan struct{})}
	p.pending = d
	if !p.caller.spawn(func() { p.dial(d) }) {
		p.pending = nil
		d.err = errClosed
		close(d.done)
	}
	return nil, d
}

// prune removes closed connections. The caller holds mu.
func (p *connPool) prune() {
	open := p.conns[:0]
	for _, c := range p.conns {
		if c.Err() == nil {
			open = append(open, c)
		}
	}
	clear(p.conns[len(open):])
	p.conns = open
}

// allBusy reports whether each connection has a request in flight. The caller
// holds mu.
func (p *connPool) allBusy() bool {
	for _, c := range p.conns {
		if c.InFlight() == 0 {
			return false
		}
	}
	return true
}

// dial makes a connection and sends a first request on it to check that the
// server serves it: a server at its connection limit closes a new connection
// without an answer.
func (p *connPool) dial(d *pendingDial) {
	d.conn, d.err = p.caller.connect(p.address)
	p.mu.Lock()
	p.pending = nil
	p.failure = d.err
	p.failedAt = time.Now()
	if d.err == nil {
		p.conns = append(p.conns, d.conn)
	}
	p.mu.Unlock()
	close(d.done)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // the connection is dropped in any case
	}
	p.conns = nil
}

// connect makes a connection and waits for the answer to its first request.
func (c *Caller) connect(address string) (conn *http.ClientConn, err error) {
	defer func() { err = errors.Wrapf(err, "connecting to %s", address) }()
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.ConnectTimeout)
	defer cancel()
	conn, err = c.transport.NewClientConn(ctx, "http", address)
	if err != nil {
		return nil, err
	}
	c.counters.countNeeded(HelloMessage, 1)
	if err := c.hello(ctx, conn, address); err != nil {
		_ = conn.Close() // the hello's error is returned
		return nil, err
	}
	c.counters.countNeeded(HelloMessage, 1)
	return conn, nil
}

func (c *Caller) hello(ctx context.Context, conn *http.ClientConn, address string) error {
	r := newRequest(ctx, address, http.MethodGet, "/v1/hello", nil)
	r.Header.Set("Backend-Caller", string(c.opts.Caller))
	r.Header.Set("Backend-Caller-Failure-Domain", string(c.opts.FailureDomain))
	return exchange(conn, r, &struct{}{})
}
