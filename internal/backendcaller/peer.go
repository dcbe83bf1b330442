package backendcaller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// peer holds the connections to one backend server.
type peer struct {
	caller  *Caller
	address string

	mu       sync.Mutex
	conns    []*http.ClientConn
	next     int
	dialing  *dial // nil while no connection is being made
	failedAt time.Time
	failure  error
}

// dial is a connection being made, which several requests wait for.
type dial struct {
	done chan struct{}
	conn *http.ClientConn
	err  error
}

// conn returns a connection that has answered before, or makes one. Its error
// proves that nothing was sent for the request.
func (p *peer) conn(ctx context.Context) (c *http.ClientConn, err error) {
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

// pick returns an open connection, or the making of one. The caller holds mu.
func (p *peer) pick() (*http.ClientConn, *dial) {
	p.prune()
	if n := len(p.conns); n > 0 && (n >= p.caller.opts.ConnectionsPerServer || p.dialing != nil || !p.busy()) {
		p.next = (p.next + 1) % n
		return p.conns[p.next], nil
	}
	if p.dialing != nil {
		return nil, p.dialing
	}
	if p.failure != nil && time.Since(p.failedAt) < p.caller.opts.ReconnectDelay {
		done := make(chan struct{})
		close(done)
		return nil, &dial{done: done, err: p.failure}
	}
	d := &dial{done: make(chan struct{})}
	p.dialing = d
	if !p.caller.spawn(func() { p.dial(d) }) {
		p.dialing = nil
		d.err = errClosed
		close(d.done)
	}
	return nil, d
}

// prune forgets connections that are closed. The caller holds mu.
func (p *peer) prune() {
	open := p.conns[:0]
	for _, c := range p.conns {
		if c.Err() == nil {
			open = append(open, c)
		}
	}
	clear(p.conns[len(open):])
	p.conns = open
}

// busy reports whether each connection has a request in flight. The caller
// holds mu.
func (p *peer) busy() bool {
	for _, c := range p.conns {
		if c.InFlight() == 0 {
			return false
		}
	}
	return true
}

// dial makes a connection and proves by a first request that the server serves
// it, since a server at its limit closes a new connection without a word.
func (p *peer) dial(d *dial) {
	d.conn, d.err = p.caller.connect(p.address)
	p.mu.Lock()
	p.dialing = nil
	p.failure = d.err
	p.failedAt = time.Now()
	if d.err == nil {
		p.conns = append(p.conns, d.conn)
	}
	p.mu.Unlock()
	close(d.done)
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // nothing is left to lose
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
	c.tally.need(HelloMessage, 1)
	if err := c.hello(ctx, conn, address); err != nil {
		_ = conn.Close() // the first error counts
		return nil, err
	}
	c.tally.need(HelloMessage, 1)
	return conn, nil
}

func (c *Caller) hello(ctx context.Context, conn *http.ClientConn, address string) error {
	r := newRequest(ctx, address, http.MethodGet, "/v1/hello", nil)
	r.Header.Set("Backend-Caller", string(c.opts.Caller))
	r.Header.Set("Backend-Caller-Failure-Domain", string(c.opts.FailureDomain))
	return exchange(conn, r, &struct{}{})
}
