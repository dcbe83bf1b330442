package backendserver

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// stall holds back the bytes of connections until it is lifted.
type stall struct {
	all     bool
	callers []identifier.VMID
	domains []identifier.FailureDomain
	lifted  chan struct{}
}

// peer is the sender at the other end of a connection.
type peer struct {
	caller identifier.VMID
	domain identifier.FailureDomain
}

// conn is a connection to a backend server that a stall can hold back.
type conn struct {
	net.Conn
	server *server
	peer   atomic.Pointer[peer] // nil until the first request
	once   sync.Once
	closed chan struct{}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.await()
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.await()
	return c.Conn.Write(p)
}

// Close closes the connection and releases its place.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.server.release(c)
	})
	return c.Conn.Close()
}

// await waits while a stall holds the connection back.
func (c *conn) await() {
	for {
		s := c.server.stall.Load()
		if s == nil || !s.holds(c.peer.Load()) {
			return
		}
		select {
		case <-s.lifted:
		case <-c.closed:
			return
		}
	}
}

func (s *stall) holds(p *peer) bool {
	if s.all {
		return true
	}
	return p != nil && (slices.Contains(s.callers, p.caller) || slices.Contains(s.domains, p.domain))
}
