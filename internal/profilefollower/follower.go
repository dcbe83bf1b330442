// Package profilefollower runs a profilekeeper.Keeper on an entry VM: it makes the
// store calls, sends the keeper's messages to peers and provides the book in
// force.
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
	eventCapacity = 1024            // events waiting for the keeper
	maxWatchTime  = 5 * time.Second // after which a read checks whether the store still answers
	readTimeout   = 2 * time.Second
)

// Options configures a Follower.
type Options struct {
	Self   identifier.Member
	Domain identifier.FailureDomain
	Seed   uint64
	Store  platformcaller.Store
	// Send queues a message to a peer. It must not block.
	Send func(to identifier.Member, m peermessenger.Message)
	// Adopted is called, from one goroutine, with each book that is put in force.
	Adopted func(profilekeeper.Book)
	// Confirmed is called, from the same goroutine, when a read of the store that
	// Verify asked for shows that no later book was there at asOf.
	Confirmed func(asOf time.Time)
}

// Follower runs one Keeper. Its methods are safe for concurrent use.
type Follower struct {
	opts    Options
	keeper  *profilekeeper.Keeper // used only by run
	events  chan profilekeeper.Event
	dropped atomic.Uint64
	book    atomic.Pointer[profilekeeper.Book]
	status  atomic.Pointer[profilekeeper.Status]

	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	peersMu sync.Mutex // held while replacing the set in peers
	peers   chan []profilekeeper.Peer

	outcome    chan profilekeeper.Event // of the store call in progress; used only by run
	cancelCall context.CancelFunc       // cancels the store call in progress; used only by run
}

// New starts a Follower. The caller must Close it.
func New(opts Options) *Follower {
	now := time.Now()
	f := &Follower{
		opts:       opts,
		keeper:     profilekeeper.New(now, profilekeeper.Options{Self: opts.Self, Domain: opts.Domain, Seed: opts.Seed}),
		events:     make(chan profilekeeper.Event, eventCapacity),
		peers:      make(chan []profilekeeper.Peer, 1),
		cancelCall: func() {},
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

// Dropped returns how many events were dropped because the queue was full.
func (f *Follower) Dropped() uint64 { return f.dropped.Load() }

// EnqueueMessage queues a message from a peer. The message is dropped if the queue
// is full; later digests reveal what was missed.
func (f *Follower) EnqueueMessage(from identifier.Member, m peermessenger.Message) {
	f.enqueue(profilekeeper.PeerMessage{From: from, Message: m})
}

// BookSeen queues a book that was read from the store or written to it. It is
// dropped if the queue is full.
func (f *Follower) BookSeen(b profilekeeper.Book) { f.enqueue(profilekeeper.BookWritten{Book: b}) }

// Verify queues a read of the store that begins after this call. It is dropped if the
// queue is full.
func (f *Follower) Verify() { f.enqueue(profilekeeper.VerifyRequested{}) }

// PeersChanged passes on the full set of peers to which there are links. It
// replaces a set that is still waiting.
func (f *Follower) PeersChanged(peers []profilekeeper.Peer) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	select {
	case <-f.peers:
	default:
	}
	f.peers <- peers
}

func (f *Follower) enqueue(e profilekeeper.Event) {
	select {
	case f.events <- e:
	default:
		f.dropped.Add(1)
	}
}

// run passes events to the keeper until the Follower is closed.
func (f *Follower) run() error {
	ticker := time.NewTicker(profilekeeper.TickInterval)
	defer ticker.Stop()
	defer func() { f.cancelCall() }()
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
		f.performEffect(effect)
	}
	f.publish(now)
}

func (f *Follower) publish(now time.Time) {
	book, status := f.keeper.Book(), f.keeper.Status(now)
	f.book.Store(&book)
	f.status.Store(&status)
}

func (f *Follower) performEffect(effect profilekeeper.Effect) {
	switch e := effect.(type) {
	case profilekeeper.Send:
		f.opts.Send(e.To, e.Message)
	case profilekeeper.BookAdopted:
		f.opts.Adopted(e.Book)
	case profilekeeper.BookConfirmed:
		f.opts.Confirmed(e.AsOf)
	case profilekeeper.CancelStoreCall:
		f.cancelCall()
		f.outcome = nil
	case profilekeeper.ReadBook:
		f.startCall(f.readBook)
	case profilekeeper.WatchBook:
		f.startCall(func(ctx context.Context) (platformcaller.Value, error) { return f.watchBook(ctx, e) })
	}
}

// storeCall makes one call to the store.
type storeCall func(ctx context.Context) (platformcaller.Value, error)

// startCall runs a store call in its own goroutine. The outcome of an earlier call
// is ignored.
func (f *Follower) startCall(c storeCall) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelCall = cancel
	outcome := make(chan profilekeeper.Event, 1)
	f.outcome = outcome
	f.group.Go(func() error {
		defer cancel()
		outcome <- callOutcome(c(ctx))
		return nil
	})
}

func callOutcome(value platformcaller.Value, err error) profilekeeper.Event {
	if err != nil {
		return profilekeeper.StoreFailed{}
	}
	book, err := profilekeeper.Decode(value.Data)
	if err != nil {
		return profilekeeper.StoreFailed{}
	}
	return profilekeeper.BookRead{Book: book, Revision: profilekeeper.Revision(value.Revision)}
}

func (f *Follower) readBook(ctx context.Context) (platformcaller.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.opts.Store.Get(ctx, profilekeeper.Key)
}

// watchBook waits for a change. If there is none within maxWatchTime, it reads the
// book to check whether the store still answers.
func (f *Follower) watchBook(ctx context.Context, e profilekeeper.WatchBook) (platformcaller.Value, error) {
	watchCtx, cancel := context.WithTimeout(ctx, maxWatchTime)
	defer cancel()
	value, err := f.opts.Store.Watch(watchCtx, profilekeeper.Key, platformcaller.Revision(e.After))
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return f.readBook(ctx)
	}
	return value, err
}
