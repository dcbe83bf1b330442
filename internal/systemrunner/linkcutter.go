package systemrunner

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// linkCutter simulates network partitions: it cuts the links between failure
// domains.
type linkCutter struct {
	mu      sync.Mutex
	domains map[string]identifier.FailureDomain // by peer address
	cuts    map[domainPair]struct{}
	conns   map[net.Conn]domainPair
}

// domainPair is one direction of the links between two failure domains.
type domainPair struct{ from, to identifier.FailureDomain }

func newLinkCutter() *linkCutter {
	return &linkCutter{
		domains: make(map[string]identifier.FailureDomain),
		cuts:    make(map[domainPair]struct{}),
		conns:   make(map[net.Conn]domainPair),
	}
}

// setDomain records the failure domain of a peer address.
func (c *linkCutter) setDomain(address string, domain identifier.FailureDomain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains[address] = domain
}

// dialer returns the dial function of the entry VMs in a failure domain. It fails
// for an address that the failure domain is cut off from.
func (c *linkCutter) dialer(from identifier.FailureDomain) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if c.isCut(from, address) {
			return nil, errors.Newf("the link to %s is cut", address)
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return c.track(conn, from, address), nil
	}
}

func (c *linkCutter) isCut(from identifier.FailureDomain, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, cut := c.cuts[domainPair{from, c.domains[address]}]
	return cut
}

func (c *linkCutter) track(conn net.Conn, from identifier.FailureDomain, address string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := &trackedConn{Conn: conn, cutter: c}
	c.conns[tracked] = domainPair{from, c.domains[address]}
	return tracked
}

func (c *linkCutter) cut(a, b identifier.FailureDomain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[domainPair{a, b}] = struct{}{}
	c.cuts[domainPair{b, a}] = struct{}{}
	for conn, pair := range c.conns {
		if _, cut := c.cuts[pair]; cut {
			_ = conn.(*trackedConn).Conn.Close() // both ends see the connection close
		}
	}
}

func (c *linkCutter) restore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cuts)
}

// trackedConn is a connection that its linkCutter can close.
type trackedConn struct {
	net.Conn
	cutter *linkCutter
}

// Close closes the connection and removes it from the linkCutter.
func (t *trackedConn) Close() error {
	t.cutter.mu.Lock()
	delete(t.cutter.conns, t)
	t.cutter.mu.Unlock()
	return t.Conn.Close()
}
