// Package backendcaller calls backend servers over HTTP/2 in clear text: it
// starts tasks and waits for their results, stops them and asks after them.
//
// It never sends a start twice, and it tells a start that provably did not
// happen from one whose answer was lost.
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

// Caller calls backend servers. Its methods may be called at the same time.
type Caller struct {
	opts      Options
	transport *http.Transport
	tally     *tally
	ctx       context.Context // ends at Close
	cancel    context.CancelFunc
	duties    sync.WaitGroup

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// New returns a Caller without connections.
func New(opts Options) (c *Caller, err error) {
	defer func() { err = errors.Wrap(err, "making the backend servers' client") }()
	if err := opts.check(); err != nil {
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
		tally:  newTally(),
		ctx:    ctx,
		cancel: cancel,
		peers:  make(map[string]*peer),
	}, nil
}

// Close closes all connections and waits for those being made. The results of
// starts in progress are Lost.
func (c *Caller) Close() {
	c.mu.Lock()
	c.closed = true
	peers := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		peers = append(peers, p)
	}
	c.mu.Unlock()
	c.cancel()
	c.duties.Wait()
	for _, p := range peers {
		p.close()
	}
}

// Forget closes the connections to a backend server that is gone.
func (c *Caller) Forget(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Messages returns the counts of all messages by kind.
func (c *Caller) Messages() map[Kind]Count {
	return c.tally.snapshot()
}

// conn returns a connection to a backend server. Its error proves that nothing
// was sent for the request.
func (c *Caller) conn(ctx context.Context, address string) (*http.ClientConn, error) {
	p, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	return p.conn(ctx)
}

// spawn runs a duty for which Close waits, or returns false after Close.
func (c *Caller) spawn(duty func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.duties.Go(duty)
	return true
}

func (c *Caller) peer(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	p, ok := c.peers[address]
	if !ok {
		if len(c.peers) >= MaxServers {
			return nil, errors.Newf("the client is at its bound of %d servers", MaxServers)
		}
		p = &peer{caller: c, address: address}
		c.peers[address] = p
	}
	return p, nil
}
