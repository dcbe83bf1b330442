// Package backendcaller calls backend servers over unencrypted HTTP/2: it starts
// tasks and waits for their results, stops tasks and queries their state.
//
// It speaks the protocol under /v1 of peppertrack's own backend servers, for which
// package standin/backendserver is the stand-in. The backend client of package
// platform calls the backend servers of the users' platform instead.
//
// It never sends a start twice, and it distinguishes a start that provably did
// not happen from one whose answer was lost.
package backendcaller

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// MaxServers bounds the backend servers to which a Caller keeps connections.
const MaxServers = 1 << 16

// maxFrameSize is the largest HTTP/2 frame that a Caller reads, in bytes.
const maxFrameSize = 64 << 10

var errClosed = errors.New("the client is closed")

// Caller calls backend servers. It is safe for concurrent use.
type Caller struct {
	opts      Options
	transport *http.Transport
	counters  *counters
	ctx       context.Context // ends at Close
	cancel    context.CancelFunc
	dials     sync.WaitGroup

	mu     sync.Mutex
	pools  map[string]*connPool
	closed bool
}

// New returns a Caller without connections.
func New(opts Options) (c *Caller, err error) {
	defer func() { err = errors.Wrap(err, "creating the caller of backend servers") }()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: opts.ConnectTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	return &Caller{
		opts: opts,
		transport: &http.Transport{
			DialContext:        dialer.DialContext,
			Protocols:          &protocols,
			DisableCompression: true,
			HTTP2: &http.HTTP2Config{
				MaxReadFrameSize: maxFrameSize,
				SendPingTimeout:  opts.PingInterval,
				PingTimeout:      opts.PingInterval,
			},
		},
		counters: newCounters(),
		ctx:      ctx,
		cancel:   cancel,
		pools:    make(map[string]*connPool),
	}, nil
}

// Close closes all connections and waits for pending dials. The results of starts
// in progress are Lost.
func (c *Caller) Close() {
	c.mu.Lock()
	c.closed = true
	pools := make([]*connPool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	c.cancel()
	c.dials.Wait()
	for _, p := range pools {
		p.close()
	}
}

// Forget closes the connections to a backend server that no longer exists.
func (c *Caller) Forget(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// MessageCounts returns the message counts by kind.
func (c *Caller) MessageCounts() map[MessageKind]Count {
	return c.counters.snapshot()
}

// conn returns a connection to a backend server. An error means that nothing was
// sent for the request.
func (c *Caller) conn(ctx context.Context, address string) (*http.ClientConn, error) {
	p, err := c.pool(address)
	if err != nil {
		return nil, err
	}
	return p.conn(ctx)
}

// spawn runs f in a goroutine for which Close waits. It returns false after Close.
func (c *Caller) spawn(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.dials.Go(f)
	return true
}

// pool returns the connections to a backend server. It fails after Close and for
// a new server above MaxServers.
func (c *Caller) pool(address string) (*connPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	p, ok := c.pools[address]
	if !ok {
		if len(c.pools) >= MaxServers {
			return nil, errors.Newf("the client is at its bound of %d servers", MaxServers)
		}
		p = &connPool{caller: c, address: address}
		c.pools[address] = p
	}
	return p, nil
}
