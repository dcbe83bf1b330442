package peerlinker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// link is one outgoing connection, made again whenever it is lost.
type link struct {
	linker  *Linker
	address string
	hurried chan struct{} // ends a pause

	mu        sync.Mutex
	interrupt context.CancelFunc // of the dial that goes on
	dialedAt  time.Time
}

func newLink(l *Linker, address string) *link {
	return &link{linker: l, address: address, hurried: make(chan struct{}, 1)}
}

// hurry dials at once, because the peer has shown that it lives: it ends a pause,
// and a dial that has hung since before the peer was there.
func (k *link) hurry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.interrupt != nil {
		if time.Since(k.dialedAt) > usualDial {
			k.interrupt()
		}
		return
	}
	select {
	case k.hurried <- struct{}{}:
	default: // already told
	}
}

// dialing notes the dial that goes on, or its end.
func (k *link) dialing(interrupt context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt, k.dialedAt = interrupt, time.Now()
	select {
	case <-k.hurried: // it asked for this dial
	default:
	}
}

// pause waits before the next dial.
func (k *link) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-k.linker.ctx.Done():
	case <-k.hurried:
	case <-timer.C:
	}
}

// run keeps the link until the linker closes or the address never answers.
func (k *link) run() error {
	wait := redialShortest
	lastUp := time.Now()
	for k.linker.ctx.Err() == nil {
		if k.connect() {
			lastUp = time.Now()
			wait = redialShortest
		}
		if time.Since(lastUp) > k.linker.opts.ForgetAfter && !k.isSeed() {
			k.linker.forget(k)
			return nil
		}
		k.pause(wait)
		wait = min(2*wait, redialLongest)
	}
	return nil
}

func (k *link) isSeed() bool {
	for _, seed := range k.linker.opts.Seeds {
		if seed == k.address {
			return true
		}
	}
	return false
}

// connect makes the connection and serves it until it is lost. It reports
// whether the connection was made.
func (k *link) connect() bool {
	conn, peer, err := k.dial()
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	if peer.Member.VM == k.linker.opts.Self.Member.VM {
		return false
	}
	s := newSession(k.linker, conn, peer)
	k.linker.setUp(s)
	defer k.linker.setDown(s)
	s.serve()
	return true
}

// dial returns the connection and the peer that answered.
func (k *link) dial() (conn *websocket.Conn, peer Peer, err error) {
	defer func() { err = errors.Wrapf(err, "linking to %s", k.address) }()
	ctx, cancel := context.WithTimeout(k.linker.ctx, dialTimeout)
	defer cancel()
	k.dialing(cancel)
	defer k.dialing(nil)
	//nolint:bodyclose // Dial closes the body of the upgrade response itself.
	conn, response, err := websocket.Dial(ctx, k.url(), &websocket.DialOptions{
		HTTPClient:      k.client(ctx),
		HTTPHeader:      helloHeader(k.linker.opts.Self),
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, Peer{}, err
	}
	peer, err = parseHello(response.Header)
	if err != nil {
		conn.CloseNow()
		return nil, Peer{}, err
	}
	return conn, peer, nil
}

func (k *link) url() string {
	scheme := "ws"
	if k.linker.opts.TLS != nil {
		scheme = "wss"
	}
	return scheme + "://" + k.address + path
}

// client makes connections that are given up with ctx. A transport would go on
// with them, for a later request to use.
func (k *link) client(ctx context.Context) *http.Client {
	dial := k.linker.opts.Dial
	if dial == nil {
		dial = dialTCP
	}
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:   k.linker.opts.TLS,
		DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
	}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
