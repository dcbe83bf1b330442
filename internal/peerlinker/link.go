package peerlinker

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// link is one outgoing connection, made again whenever it is lost.
type link struct {
	linker  *Linker
	address string
}

func newLink(l *Linker, address string) *link {
	return &link{linker: l, address: address}
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
		sleep(k.linker.ctx, wait)
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
	//nolint:bodyclose // Dial closes the body of the upgrade response itself.
	conn, response, err := websocket.Dial(ctx, k.url(), &websocket.DialOptions{
		HTTPClient:      k.client(),
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

func (k *link) client() *http.Client {
	transport := &http.Transport{TLSClientConfig: k.linker.opts.TLS, DisableKeepAlives: true}
	if dial := k.linker.opts.Dial; dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		}
	}
	return &http.Client{Transport: transport}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
