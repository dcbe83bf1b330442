package storefollower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/sleeper"
)

const (
	// watchTimeoutMargin is how long after its wait a watch without a response is given
	// up. It covers the response time of a slow store.
	watchTimeoutMargin = 400 * time.Millisecond
	// rangeTimeout bounds the reading of one page. A slow store needs a quarter of a
	// second.
	rangeTimeout = 2 * time.Second
	// firstMeanRetryPause is the mean of the pause after the first failed call. The
	// mean doubles with each further one up to maxMeanRetryPause. A drawn pause is from
	// half to one and a half times its mean.
	firstMeanRetryPause = 50 * time.Millisecond
	maxMeanRetryPause   = 800 * time.Millisecond
	// outageGrace is how long items that the store no longer has are kept after an
	// outage: their writers need up to two seconds to write them again.
	outageGrace = 2500 * time.Millisecond
)

// Snapshot holds the items under a prefix, by key, at a revision.
type Snapshot struct {
	Items    map[string]Item
	Revision Revision
}

// Options configure a Follower.
type Options struct {
	Store  Store
	Prefix string
	// MinInterval is the shortest time between two watches. If items change often,
	// it batches their changes into fewer calls.
	MinInterval time.Duration
	// Wait is how long one watch waits for a change. A connection that has gone
	// silent is noticed after this time.
	Wait time.Duration
	// Durable says that the items don't lapse with their writers: one that the store no
	// longer has was removed, also after an outage.
	Durable  bool
	OnChange func(Snapshot) // called after each change; must not keep the map
	// OnConfirm is called after each successful call to the store with the time at
	// which the call began: the store then had no later items. It may be nil.
	OnConfirm func(asOf time.Time)
	Logger    log.Logger
}

// Follower keeps a copy of the items under one prefix.
type Follower struct {
	opts Options

	items          map[string]Item
	keptUntil      map[string]time.Time // by key: when to drop an item that the store no longer has
	revision       Revision
	failing        bool
	meanRetryPause time.Duration
	graceEnd       time.Time
	loaded         bool

	mu             sync.Mutex
	refreshWanted  bool
	interruptWatch context.CancelFunc // of the watch in progress; nil: there is none
}

// errRefresh says that a watch was ended by Refresh.
var errRefresh = errors.New("a new reading is wanted")

// New returns a Follower without items.
func New(opts Options) *Follower {
	return &Follower{opts: opts, items: make(map[string]Item), keptUntil: make(map[string]time.Time), meanRetryPause: firstMeanRetryPause}
}

// Run keeps the copy up to date until the context ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.load(ctx); err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		for ctx.Err() == nil {
			err := f.watch(ctx)
			if errors.Is(err, errRefresh) {
				break
			}
			if errors.Is(err, ErrHistoryLost) {
				_ = f.opts.Logger.Log("level", "info", "msg", "reading all items again", "prefix", f.opts.Prefix, "cause", err)
				break
			}
			if err != nil {
				f.handleFailure(ctx, err)
				break
			}
			f.handleSuccess()
			_ = sleeper.Sleep(ctx, f.opts.MinInterval) // the loop checks ctx
		}
	}
	return nil
}

// Refresh makes the Follower read all items with a call that begins after this one,
// without waiting for the watch in progress. It is safe for concurrent use.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshWanted = true
	if f.interruptWatch != nil {
		f.interruptWatch()
	}
}

// setInterrupt sets what Refresh calls, and reports whether a refresh is wanted.
func (f *Follower) setInterrupt(interrupt context.CancelFunc) (refreshWanted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interruptWatch = interrupt
	return f.refreshWanted
}

// beginLoad records that a refresh is no longer wanted, and returns the time.
func (f *Follower) beginLoad() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshWanted = false
	return time.Now()
}

// load reads all items page by page.
func (f *Follower) load(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "reading items under %s", f.opts.Prefix) }()
	began := f.beginLoad()
	next := make(map[string]Item)
	var revision Revision
	after := ""
	for {
		page, err := f.readPage(ctx, after)
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = page.Revision // the watch returns the changes made while later pages are read
		}
		for _, item := range page.Items {
			next[item.Key] = item
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	if f.loaded && revision < f.revision {
		return errors.Newf("the store is at revision %d, before revision %d that it was at earlier", revision, f.revision)
	}
	f.handleSuccess() // before merge, which needs the time at which the outage ended
	f.merge(next, revision)
	f.confirm(began)
	return nil
}

func (f *Follower) readPage(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	return f.opts.Store.Range(ctx, f.opts.Prefix, after)
}

// merge replaces the items by those that were read. Within outageGrace after an
// outage, it keeps the items that the store no longer has.
func (f *Follower) merge(next map[string]Item, revision Revision) {
	for key, item := range f.items {
		if _, ok := next[key]; ok {
			delete(f.keptUntil, key)
		} else if time.Now().Before(f.graceEnd) {
			f.keptUntil[key] = f.graceEnd
			next[key] = item
		}
	}
	f.items, f.revision, f.loaded = next, revision, true
	f.opts.OnChange(Snapshot{Items: f.items, Revision: f.revision})
}

// watch waits for changes and applies them.
func (f *Follower) watch(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "watching items under %s", f.opts.Prefix) }()
	wait := f.opts.Wait
	if len(f.keptUntil) > 0 {
		wait = min(wait, outageGrace/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	if f.setInterrupt(cancel) {
		return errRefresh
	}
	began := time.Now()
	changes, err := f.opts.Store.Watch(ctx, f.opts.Prefix, f.revision, wait)
	if refreshWanted := f.setInterrupt(nil); err != nil && refreshWanted {
		return errRefresh
	}
	if err != nil {
		return err
	}
	changed := f.expire()
	for _, item := range changes.Items {
		changed = f.apply(item) || changed
	}
	f.revision = max(f.revision, changes.Revision)
	if changed {
		f.opts.OnChange(Snapshot{Items: f.items, Revision: f.revision})
	}
	f.confirm(began)
	return nil
}

func (f *Follower) confirm(asOf time.Time) {
	if f.opts.OnConfirm != nil {
		f.opts.OnConfirm(asOf)
	}
}

// apply applies one change and reports whether it changed the items. Within
// outageGrace after an outage, deleted items are kept.
func (f *Follower) apply(item Item) bool {
	known, ok := f.items[item.Key]
	if ok && item.Revision <= known.Revision {
		return false
	}
	if item.Deleted {
		if ok && time.Now().Before(f.graceEnd) {
			f.keptUntil[item.Key] = f.graceEnd
			return false
		}
		delete(f.items, item.Key)
		return ok
	}
	delete(f.keptUntil, item.Key)
	f.items[item.Key] = item
	return true
}

// expire drops the items that were not written again in time after an outage.
func (f *Follower) expire() (changed bool) {
	for key, until := range f.keptUntil {
		if time.Now().After(until) {
			delete(f.keptUntil, key)
			delete(f.items, key)
			changed = true
		}
	}
	return changed
}

// handleFailure logs the first failure of an outage and waits before the next call.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		_ = f.opts.Logger.Log("level", "warn", "msg", "store lost", "prefix", f.opts.Prefix, "revision", f.revision, "err", err)
	}
	f.failing = true
	_ = sleeper.Sleep(ctx, f.meanRetryPause/2+rand.N(f.meanRetryPause)) // the caller checks ctx
	f.meanRetryPause = min(2*f.meanRetryPause, maxMeanRetryPause)
}

// handleSuccess resets the mean retry pause and, after an outage, starts the grace period.
func (f *Follower) handleSuccess() {
	f.meanRetryPause = firstMeanRetryPause
	if !f.failing {
		return
	}
	f.failing = false
	if !f.opts.Durable {
		f.graceEnd = time.Now().Add(outageGrace)
	}
	_ = f.opts.Logger.Log("level", "info", "msg", "store regained", "prefix", f.opts.Prefix, "revision", f.revision)
}
