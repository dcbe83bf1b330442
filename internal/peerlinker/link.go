package peerlinker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sys/unix"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// link keeps one outgoing connection and dials again whenever it is lost.
type link struct {
	linker        *Linker
	address       string
	ctx           context.Context // ends when the link is dropped or the linker closes
	cancel        context.CancelFunc
	dialRequested chan struct{} // ends the wait before a dial

	mu            sync.Mutex
	cancelDial    context.CancelFunc // cancels the dial in progress; nil: none
	dialStartedAt time.Time

	// Guarded by the linker's mutex.
	vm            identifier.VMID // that answered last; empty: none has yet
	unneededSince time.Time       // zero: one of the two VMs needs the link
	dropped       bool
}

func newLink(l *Linker, address string) *link {
	ctx, cancel := context.WithCancel(l.ctx)
	return &link{linker: l, address: address, ctx: ctx, cancel: cancel, dialRequested: make(chan struct{}, 1)}
}

// dialNow makes the link dial at once, because the peer has shown that it is
// alive. It ends the wait before the next dial. It cancels a dial that has taken
// longer than maxHealthyDial: a dial that began before the peer listened can hang.
func (k *link) dialNow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelDial != nil {
		if time.Since(k.dialStartedAt) > maxHealthyDial {
			k.cancelDial()
		}
		return
	}
	select {
	case k.dialRequested <- struct{}{}:
	default: // already requested
	}
}

// setDial records that a dial begins, or with nil that it has ended. It drops a
// pending request for a dial, since this dial answers it.
func (k *link) setDial(cancel context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancelDial, k.dialStartedAt = cancel, time.Now()
	select {
	case <-k.dialRequested:
	default:
	}
}

// waitToRedial waits for a delay, for a call of dialNow or for Close.
func (k *link) waitToRedial(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-k.ctx.Done():
	case <-k.dialRequested:
	case <-timer.C:
	}
}

// run dials and serves one connection after the other until the linker closes, or
// until the address has not answered for Options.ForgetAfter. A seed is never
// forgotten.
func (k *link) run() error {
	defer k.cancel()
	delay := minRedialDelay
	lastUp := time.Now()
	for k.ctx.Err() == nil {
		if k.connect() {
			lastUp = time.Now()
			delay = minRedialDelay
		}
		if time.Since(lastUp) > k.linker.opts.ForgetAfter && !k.isSeed() {
			k.linker.forget(k)
			return nil
		}
		k.waitToRedial(delay)
		delay = min(2*delay, maxRedialDelay)
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

// connect dials and serves the connection until it is lost. It reports whether
// a connection to another VM was made.
func (k *link) connect() bool {
	conn, tcp, peer, err := k.dial()
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	if peer.Member.VM == k.linker.opts.Self.Member.VM {
		return false
	}
	s := newSession(k.linker, conn, tcp, peer)
	s.setGraceful(false)
	if !k.linker.markUp(k, s) {
		return true
	}
	defer k.linker.markDown(k, s)
	s.serve(k.ctx)
	return true
}

// dial returns a new connection, the TCP connection below it, and the peer that answered.
func (k *link) dial() (conn *websocket.Conn, tcp net.Conn, peer Peer, err error) {
	defer func() { err = errors.Wrapf(err, "linking to %s", k.address) }()
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	defer cancel()
	k.setDial(cancel)
	defer k.setDial(nil)
	connected := make(chan net.Conn, 1)
	//nolint:bodyclose // Dial closes the body of the upgrade response itself.
	conn, response, err := websocket.Dial(ctx, k.url(), &websocket.DialOptions{
		HTTPClient:      k.client(ctx, connected),
		HTTPHeader:      helloHeader(k.linker.opts.Self),
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, Peer{}, err
	}
	peer, err = parseHello(response.Header)
	if err != nil {
		conn.CloseNow()
		return nil, nil, Peer{}, err
	}
	return conn, <-connected, peer, nil
}

func (k *link) url() string {
	scheme := "ws"
	if k.linker.opts.TLS != nil {
		scheme = "wss"
	}
	return scheme + "://" + k.address + linkPath
}

// client returns an HTTP client for one request, which sends its TCP connection to
// connected. Its dial ends with ctx; by default a transport continues a dial whose
// request has ended, for a later request to use.
func (k *link) client(ctx context.Context, connected chan<- net.Conn) *http.Client {
	dial := k.linker.opts.Dial
	if dial == nil {
		dial = dialTCP
	}
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:   k.linker.opts.TLS,
		DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err == nil {
				select {
				case connected <- conn:
				default: // a redirected request, which fails
				}
			}
			return conn, err
		},
	}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: limitUnacknowledged}
	return d.DialContext(ctx, "tcp", address)
}

// limitUnacknowledged makes the system give up a connection whose peer hasn't
// acknowledged data for maxUnacknowledged.
func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}
