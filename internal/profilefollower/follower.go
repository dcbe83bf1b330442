// Package profilefollower runs the keeper of profiles on an entry VM: it calls
// the store, sends the keeper's messages and hands out the book in force.
package profilefollower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

const (
	eventCapacity = 1024            // events that wait for the keeper
	watchTimeout  = 5 * time.Second // after which a read tells whether the store still answers
	readTimeout   = 2 * time.Second
)

// Options configure a Follower.
type Options struct {
	Self   identifier.Member
	Domain identifier.FailureDomain
	Seed   uint64
	Store  platformcaller.Store
	// Send hands a message over for a peer. It must not block.
	Send func(to identifier.Member, m peermessenger.Message)
	// Adopted is called, by one goroutine, with each book that comes in force.
	Adopted func(profilekeeper.Book)
}

// Follower runs one keeper. Its methods may be called by several goroutines.
type Follower struct {
	opts    Options
	keeper  *profilekeeper.Keeper // used by run alone
	events  chan profilekeeper.Event
	dropped atomic.Uint64
	book    atomic.Pointer[profilekeeper.Book]
	status  atomic.Pointer[profilekeeper.Status]

	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	peersMu sync.Mutex // held by the writer of peers
	peers   chan []profilekeeper.Peer

	outcome  chan profilekeeper.Event // of the call of the store; used by run alone
	stopCall context.CancelFunc       // ends the call of the store; used by run alone
}

// New starts a Follower.
func New(opts Options) *Follower {
	now := time.Now()
	f := &Follower{
		opts:     opts,
		keeper:   profilekeeper.New(now, profilekeeper.Options{Self: opts.Self, Domain: opts.Domain, Seed: opts.Seed}),
		events:   make(chan profilekeeper.Event, eventCapacity),
		peers:    make(chan []profilekeeper.Peer, 1),
		stopCall: func() {},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.publish(now)
	f.group.Go(f.run)
	return f
}

// Close stops the Follower and waits for its goroutines.
func (f *Follower) Close() error {
	f.cancel()
	return f.group.Wait()
}

// Book returns the book in force.
func (f *Follower) Book() profilekeeper.Book { return *f.book.Load() }

// Status returns the status as of the last event.
func (f *Follower) Status() profilekeeper.Status { return *f.status.Load() }

// Dropped returns how many events found the queue full.
func (f *Follower) Dropped() uint64 { return f.dropped.Load() }

// Received hands over a message from a peer. Where the queue is full, the
// message is dropped: later digests find what was missed.
func (f *Follower) Received(from identifier.Member, m peermessenger.Message) {
	f.offer(profilekeeper.PeerReceived{From: from, Message: m})
}

// Written hands over a book that was read from the store or written to it.
func (f *Follower) Written(b profilekeeper.Book) { f.offer(profilekeeper.BookWritten{Book: b}) }

// PeersChanged hands over the peers to which there are links. Only the newest
// set that waits counts.
func (f *Follower) PeersChanged(peers []profilekeeper.Peer) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	select {
	case <-f.peers:
	default:
	}
	f.peers <- peers
}

func (f *Follower) offer(e profilekeeper.Event) {
	select {
	case f.events <- e:
	default:
		f.dropped.Add(1)
	}
}

// run feeds the keeper until the Follower is closed.
func (f *Follower) run() error {
	ticker := time.NewTicker(profilekeeper.TickInterval)
	defer ticker.Stop()
	defer func() { f.stopCall() }()
	f.step(profilekeeper.Tick{})
	for {
		select {
		case e := <-f.events:
			f.step(e)
		case peers := <-f.peers:
			f.step(profilekeeper.PeersChanged{Peers: peers})
		case e := <-f.outcome:
			f.step(e)
		case <-ticker.C:
			f.step(profilekeeper.Tick{})
		case <-f.ctx.Done():
			return nil
		}
	}
}

func (f *Follower) step(e profilekeeper.Event) {
	now := time.Now()
	for _, effect := range f.keeper.Step(now, e) {
		f.carryOut(effect)
	}
	f.publish(now)
}

func (f *Follower) publish(now time.Time) {
	book, status := f.keeper.Book(), f.keeper.Status(now)
	f.book.Store(&book)
	f.status.Store(&status)
}

func (f *Follower) carryOut(effect profilekeeper.Effect) {
	switch e := effect.(type) {
	case profilekeeper.Send:
		f.opts.Send(e.To, e.Message)
	case profilekeeper.Adopted:
		f.opts.Adopted(e.Book)
	case profilekeeper.StopWatch:
		f.stopCall()
		f.outcome = nil
	case profilekeeper.ReadBook:
		f.call(f.read)
	case profilekeeper.WatchBook:
		f.call(func(ctx context.Context) (platformcaller.Value, error) { return f.watch(ctx, e) })
	}
}

// storeCall is one call of the store.
type storeCall func(ctx context.Context) (platformcaller.Value, error)

// call makes a call in a goroutine of its own. The outcome of an earlier one is
// no longer awaited.
func (f *Follower) call(c storeCall) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.stopCall = cancel
	outcome := make(chan profilekeeper.Event, 1)
	f.outcome = outcome
	f.group.Go(func() error {
		defer cancel()
		outcome <- outcomeOf(c(ctx))
		return nil
	})
}

func outcomeOf(value platformcaller.Value, err error) profilekeeper.Event {
	if err != nil {
		return profilekeeper.StoreFailed{}
	}
	book, err := profilekeeper.Decode(value.Data)
	if err != nil {
		return profilekeeper.StoreFailed{}
	}
	return profilekeeper.BookRead{Book: book, Revision: profilekeeper.Revision(value.Revision)}
}

func (f *Follower) read(ctx context.Context) (platformcaller.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.opts.Store.Get(ctx, profilekeeper.Key)
}

// watch waits for a change for a bounded time, after which a read tells whether
// the store still answers.
func (f *Follower) watch(ctx context.Context, e profilekeeper.WatchBook) (platformcaller.Value, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := f.opts.Store.Watch(watchCtx, profilekeeper.Key, platformcaller.Revision(e.After))
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return f.read(ctx)
	}
	return value, err
}
