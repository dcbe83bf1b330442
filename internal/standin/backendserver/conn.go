package backendserver

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// stall blocks reads and writes on connections until lifted is closed.
type stall struct {
	all     bool // true if it applies to every connection
	callers []identifier.VMID
	domains []identifier.FailureDomain
	lifted  chan struct{}
}

// peer is the caller at the other end of a connection.
type peer struct {
	caller identifier.VMID
	domain identifier.FailureDomain
}

// conn is a connection to a backend server. A stall of the server can block it.
type conn struct {
	net.Conn
	server *server
	peer   atomic.Pointer[peer] // nil until the first request
	once   sync.Once
	closed chan struct{}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitWhileStalled()
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.waitWhileStalled()
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from its server's count.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.server.releaseConn(c)
	})
	return c.Conn.Close()
}

// waitWhileStalled returns once no stall applies to the connection, or when it is
// closed.
func (c *conn) waitWhileStalled() {
	for {
		s := c.server.stall.Load()
		if s == nil || !s.appliesTo(c.peer.Load()) {
			return
		}
		select {
		case <-s.lifted:
		case <-c.closed:
			return
		}
	}
}

func (s *stall) appliesTo(p *peer) bool {
	if s.all {
		return true
	}
	return p != nil && (slices.Contains(s.callers, p.caller) || slices.Contains(s.domains, p.domain))
}
