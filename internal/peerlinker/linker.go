// Package peerlinker keeps the links between entry VMs: one WebSocket
// connection in each direction, whose frames are batches of messages in CBOR. A VM has
// links to all others that it knows, or after Restrict to those that one of the two
// needs.
//
// A link keeps an outgoing connection to one address and dials again whenever it is
// lost. A session is one established outgoing connection of a link; it sends
// messages to one incarnation of a peer. An incoming connection is one that a peer
// has dialed; it only receives messages.
//
// A session delivers messages in order and without loss until it ends. PeerUp and
// PeerDown report the start and the end of a session, thus the outgoing direction
// only, so that the sender can resynchronize after PeerUp.
package peerlinker

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Linker keeps a link to every known peer, and serves incoming connections.
type Linker struct {
	opts     Options
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group
	counters counters

	mu        sync.Mutex
	closed    bool
	links     map[string]*link             // by address
	sessions  map[identifier.VMID]*session // established sessions
	addresses map[identifier.VMID]peermessenger.PeerAddress
	incoming  map[identifier.VMID]*incoming // the latest connection of each peer
	listed    map[identifier.VMID]string    // addresses, as Restrict has them
	needed    map[identifier.VMID]bool      // by this VM; nil: it needs all links
}

// New returns a Linker that dials no peer before Start.
func New(opts Options) *Linker {
	if opts.ForgetAfter == 0 {
		opts.ForgetAfter = DefaultForgetAfter
	}
	if opts.UnneededLinger == 0 {
		opts.UnneededLinger = DefaultUnneededLinger
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		opts:      opts,
		ctx:       ctx,
		cancel:    cancel,
		links:     make(map[string]*link),
		sessions:  make(map[identifier.VMID]*session),
		addresses: make(map[identifier.VMID]peermessenger.PeerAddress),
		incoming:  make(map[identifier.VMID]*incoming),
	}
}

// Start connects to the seeds, and to all peers that they know.
func (l *Linker) Start() {
	for _, address := range l.opts.Seeds {
		l.Connect(address)
	}
	l.group.Go(l.shareTable)
}

// Connect keeps a link to the peer at an address from now on. It does nothing
// after Close, for this peer's own address, and when maxLinks links exist.
func (l *Linker) Connect(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || address == l.opts.Self.Address || l.links[address] != nil || len(l.links) >= maxLinks {
		return
	}
	k := newLink(l, address)
	l.links[address] = k
	l.group.Go(k.run)
}

// ensureLink keeps a link to a peer from which something has just arrived. It
// dials at once unless a session with this incarnation of the peer exists.
func (l *Linker) ensureLink(peer Peer) {
	if !l.keeps(peer.Member.VM) {
		return
	}
	l.mu.Lock()
	k, s := l.links[peer.Address], l.sessions[peer.Member.VM]
	l.mu.Unlock()
	switch {
	case k == nil:
		l.Connect(peer.Address)
	case s == nil || s.peer.Member != peer.Member:
		k.dialNow()
	}
}

// Send queues a message for a peer without waiting. It returns false if there is
// no session with that incarnation or if its outbox is full, which ends the
// session.
func (l *Linker) Send(to identifier.Member, m peermessenger.Message) bool {
	data, ok := l.encode(m)
	return ok && l.sendEncoded(to, data)
}

// Broadcast queues a message for several peers, as Send does for each.
func (l *Linker) Broadcast(to []identifier.Member, m peermessenger.Message) {
	if len(to) == 0 {
		return
	}
	data, ok := l.encode(m)
	if !ok {
		return
	}
	for _, peer := range to {
		l.sendEncoded(peer, data)
	}
}

func (l *Linker) encode(m peermessenger.Message) (data []byte, ok bool) {
	data, err := peermessenger.Encode(m)
	if err != nil {
		_ = l.opts.Logger.Log("level", "error", "msg", "encoding a peer message failed; it is not sent", "err", err)
		return nil, false
	}
	return data, true
}

func (l *Linker) sendEncoded(to identifier.Member, data []byte) bool {
	l.mu.Lock()
	s := l.sessions[to.VM]
	l.mu.Unlock()
	return s != nil && s.peer.Member == to && s.send(data)
}

// Close ends all links and waits for their goroutines. The system delivers what was
// written to them. Close also ends the incoming connections, but doesn't wait for them.
func (l *Linker) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, s := range l.sessions {
		s.setGraceful(true)
	}
	l.mu.Unlock()
	l.cancel()
	return l.group.Wait()
}

// pingInterval returns the time between two pings of one session.
func (l *Linker) pingInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minPingInterval, time.Duration(len(l.sessions))*time.Second/maxPingsPerSecond)
}

// markUp records that a session is established, and reports it. It returns false if
// the link has been dropped.
func (l *Linker) markUp(k *link, s *session) bool {
	l.mu.Lock()
	if k.dropped {
		l.mu.Unlock()
		return false
	}
	k.vm = s.peer.Member.VM
	l.sessions[s.peer.Member.VM] = s
	l.addresses[s.peer.Member.VM] = peermessenger.PeerAddress{
		VM:      s.peer.Member.VM,
		Domain:  s.peer.Domain,
		Address: s.peer.Address,
	}
	l.mu.Unlock()
	l.opts.Handle(PeerUp{Peer: s.peer})
	l.tellNeed(s)
	return true
}

// markDown records that a session has ended, and reports it.
func (l *Linker) markDown(k *link, s *session) {
	l.mu.Lock()
	if l.sessions[s.peer.Member.VM] == s {
		delete(l.sessions, s.peer.Member.VM)
	}
	unneeded := k.dropped
	l.mu.Unlock()
	l.opts.Handle(PeerDown{Peer: s.peer, Unneeded: unneeded})
}

// forget drops a link and the addresses learned over it.
func (l *Linker) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetLocked(k)
}

func (l *Linker) forgetLocked(k *link) {
	delete(l.links, k.address)
	for vm, known := range l.addresses {
		if known.Address == k.address {
			delete(l.addresses, vm)
		}
	}
}
