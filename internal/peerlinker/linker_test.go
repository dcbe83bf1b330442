package peerlinker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// testPeer is a Linker with its listener and the events that it has reported.
type testPeer struct {
	linker *Linker
	events chan Event
	self   Peer

	mu    sync.Mutex
	cut   bool       // dials fail
	conns []net.Conn // dialed by this peer
	hung  chan error // makes the next dial hang and receives its error; nil: dials don't hang
}

func newTestPeer(t *testing.T, name identifier.VMID, seeds ...string) *testPeer {
	t.Helper()
	return newTestPeerForgettingAfter(t, name, 0, seeds...)
}

func newTestPeerForgettingAfter(t *testing.T, name identifier.VMID, forgetAfter time.Duration, seeds ...string) *testPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{
		events: make(chan Event, 10_000),
		self: Peer{
			Member:  identifier.Member{VM: name, Incarnation: 1},
			Domain:  "a",
			Address: listener.Addr().String(),
		},
	}
	p.linker = New(Options{
		Self:   p.self,
		Seeds:  seeds,
		Handle: func(e Event) { p.events <- e },
		Logger: log.NewNopLogger(),
		Dial:   p.dial,

		ForgetAfter: forgetAfter,
	})
	server := &http.Server{Handler: p.linker.Handler(), ReadHeaderTimeout: time.Second}
	var served sync.WaitGroup
	served.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		if err := p.linker.Close(); err != nil {
			t.Error(err)
		}
		_ = server.Close()
		served.Wait()
	})
	p.linker.Start()
	return p
}

// dial connects to an address, unless the test has cut this peer's links or
// makes the dial hang.
func (p *testPeer) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if hung := p.hung; hung != nil {
		p.hung = nil
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		hung <- ctx.Err()
		return nil, ctx.Err()
	}
	if p.cut {
		return nil, errors.New("cut")
	}
	conn, err := dialTCP(ctx, address)
	if err == nil {
		p.conns = append(p.conns, conn)
	}
	return conn, err
}

// setCut cuts or restores the links that this peer dials.
func (p *testPeer) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for _, conn := range p.conns {
			_ = conn.Close()
		}
		p.conns = nil
	}
}

// await returns the next event for which match returns true.
func (p *testPeer) await(match func(Event) bool) Event {
	for e := range p.events {
		if match(e) {
			return e
		}
	}
	return nil
}

func (p *testPeer) awaitUp(other *testPeer) {
	p.await(func(e Event) bool {
		up, ok := e.(PeerUp)
		return ok && up.Peer == other.self
	})
}

func (p *testPeer) awaitDown(other *testPeer) {
	p.await(func(e Event) bool {
		down, ok := e.(PeerDown)
		return ok && down.Peer == other.self
	})
}

// TestOrder guards against messages that are lost, repeated or reordered on a link.
func TestOrder(t *testing.T) {
	a := newTestPeer(t, "a")
	b := newTestPeer(t, "b", a.self.Address)
	a.awaitUp(b)
	const messages = 5000
	for n := range messages {
		if !a.linker.Send(b.self.Member, peermessenger.ReportQuery{Number: peermessenger.RequestNumber(n)}) {
			t.Fatalf("Send refused message %d", n)
		}
	}
	for n := range messages {
		e := b.await(func(e Event) bool { _, ok := e.(Received); return ok }).(Received)
		if got := e.Message.(peermessenger.ReportQuery).Number; got != peermessenger.RequestNumber(n) {
			t.Fatalf("got message %d, want %d", got, n)
		}
		if e.From != a.self {
			t.Fatalf("the sender is %v", e.From)
		}
	}
}

// TestMeshFromOneSeed checks that peers that know a single address find all
// others.
func TestMeshFromOneSeed(t *testing.T) {
	peers := []*testPeer{newTestPeer(t, "vm0")}
	for n := 1; n < 4; n++ {
		peers = append(peers, newTestPeer(t, identifier.VMID(fmt.Sprint("vm", n)), peers[0].self.Address))
	}
	for _, p := range peers {
		missing := map[identifier.VMID]bool{}
		for _, other := range peers {
			if other != p {
				missing[other.self.Member.VM] = true
			}
		}
		for len(missing) > 0 {
			up := p.await(func(e Event) bool { _, ok := e.(PeerUp); return ok }).(PeerUp)
			delete(missing, up.Peer.Member.VM)
		}
	}
}

// TestCutLinkIsRestored checks that a cut link is reported, that Send refuses
// messages meanwhile, and that the link comes up again.
func TestCutLinkIsRestored(t *testing.T) {
	a := newTestPeer(t, "a")
	b := newTestPeer(t, "b", a.self.Address)
	a.awaitUp(b)
	a.setCut(true)
	a.awaitDown(b)
	if a.linker.Send(b.self.Member, peermessenger.ReportQuery{}) {
		t.Error("Send accepted a message while the link is cut")
	}
	a.setCut(false)
	a.awaitUp(b)
	if !a.linker.Send(b.self.Member, peermessenger.ReportQuery{Number: 7}) {
		t.Error("Send refused a message after the link was restored")
	}
	b.await(func(e Event) bool {
		r, ok := e.(Received)
		return ok && r.Message == peermessenger.ReportQuery{Number: 7}
	})
}

// TestHungDialIsGivenUp checks that a dial that hangs is cancelled for a new one
// when a message from its peer arrives. On a busy machine the message may arrive
// after the dial's timeout; then the test tries again.
func TestHungDialIsGivenUp(t *testing.T) {
	const tries = 5
	for range tries {
		a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
		hung := make(chan error, 1)
		a.mu.Lock()
		a.hung = hung
		a.mu.Unlock()
		a.linker.Connect(b.self.Address)
		b.linker.Connect(a.self.Address)
		for {
			b.linker.Send(a.self.Member, peermessenger.ReportQuery{})
			select {
			case err := <-hung:
				a.awaitUp(b)
				if errors.Is(err, context.Canceled) {
					return
				}
				t.Logf("the dial ended with %v", err)
			case <-time.After(20 * time.Millisecond):
				continue
			}
			break
		}
	}
	t.Errorf("%d hung dials ended only by their timeout", tries)
}

// TestOtherIncarnation guards against a message for an earlier process of a VM
// that is sent to its successor.
func TestOtherIncarnation(t *testing.T) {
	a := newTestPeer(t, "a")
	b := newTestPeer(t, "b", a.self.Address)
	a.awaitUp(b)
	earlier := b.self.Member
	earlier.Incarnation--
	if a.linker.Send(earlier, peermessenger.ReportQuery{}) {
		t.Error("Send accepted a message for another incarnation")
	}
}

// TestUnsentMessagesDontOutliveTheirLink guards against messages that arrive after their
// sender has given up the link: a graceful close would still deliver them.
func TestUnsentMessagesDontOutliveTheirLink(t *testing.T) {
	silent := Peer{Member: identifier.Member{VM: "silent", Incarnation: 1}, Domain: "a"}
	accepted, lost := make(chan struct{}, 1), make(chan error, 1)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for key, values := range helloHeader(silent) {
			w.Header()[key] = values
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		accepted <- struct{}{}
		<-ended // answers no ping until the sender has given up
		_, _, err = conn.Read(context.Background())
		select {
		case lost <- err:
		default:
		}
	}))
	defer server.Close()
	silent.Address = strings.TrimPrefix(server.URL, "http://")
	a := newTestPeer(t, "a", silent.Address)
	<-accepted
	a.await(func(e Event) bool { _, ok := e.(PeerDown); return ok })
	close(ended)
	if err := <-lost; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, not with a reset", err)
	}
}

// TestUnacknowledgedMessagesAreLimited guards against links that hold messages for as
// long as the system goes on sending them.
func TestUnacknowledgedMessagesAreLimited(t *testing.T) {
	b := newTestPeer(t, "b")
	conn, err := dialTCP(t.Context(), b.self.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var millis int
	if err := raw.Control(func(fd uintptr) {
		millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || time.Duration(millis)*time.Millisecond != maxUnacknowledged {
		t.Errorf("the bound is %d ms, %v", millis, err)
	}
}

// TestFullOutbox checks that the outbox of a peer that reads nothing is bounded,
// and that an overflow is reported so that the link goes down.
func TestFullOutbox(t *testing.T) {
	o := newOutbox()
	for n := range outboxCapacity {
		if !o.put([]byte{byte(n)}) {
			t.Fatalf("message %d was refused below the bound", n)
		}
	}
	if o.put([]byte{0}) {
		t.Fatal("a message above the bound was accepted")
	}
	if messages, full := o.take(); len(messages) != outboxCapacity || !full {
		t.Fatalf("got %d messages, full %v", len(messages), full)
	}
}

// FuzzHello checks that no headers are accepted with names out of bounds.
func FuzzHello(f *testing.F) {
	f.Add("vm", "1", "a", "127.0.0.1:80")
	f.Add("", "-1", "", "nowhere")
	f.Fuzz(func(t *testing.T, vm, incarnation, domain, address string) {
		header := make(http.Header)
		header.Set(vmHeader, vm)
		header.Set(incarnationHeader, incarnation)
		header.Set(domainHeader, domain)
		header.Set(addressHeader, address)
		peer, err := parseHello(header)
		if err != nil {
			return
		}
		if peer.Member.VM == "" || len(peer.Member.VM) > maxNameLength || peer.Domain == "" || len(peer.Domain) > maxNameLength {
			t.Errorf("accepted %+v", peer)
		}
	})
}

// TestForgottenLinkComesBack checks that a forgotten address is dialed again
// once a message from its peer arrives.
func TestForgottenLinkComesBack(t *testing.T) {
	a := newTestPeerForgettingAfter(t, "a", time.Nanosecond)
	b := newTestPeer(t, "b", a.self.Address)
	a.awaitUp(b)
	b.awaitUp(a)
	a.setCut(true)
	a.awaitDown(b)
	for a.keeps(b) {
		time.Sleep(time.Millisecond)
	}
	a.setCut(false)
	if !b.linker.Send(a.self.Member, peermessenger.ReportQuery{Number: 1}) {
		t.Fatal("the link from b to a is down as well")
	}
	a.awaitUp(b)
}

// keeps reports whether the peer keeps a link to another one's address.
func (p *testPeer) keeps(other *testPeer) bool {
	p.linker.mu.Lock()
	defer p.linker.mu.Unlock()
	return p.linker.links[other.self.Address] != nil
}
