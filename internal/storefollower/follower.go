package storefollower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/sleeper"
)

const (
	// watchSlack is added to the wait before a watch without an answer is given
	// up: it covers the answer of a slow store.
	watchSlack = 400 * time.Millisecond
	// rangeTimeout bounds one page: a slow store's answer takes a quarter of a
	// second.
	rangeTimeout = 2 * time.Second
	// retryFirst is the first pause after a failed call, and retryLongest bounds
	// its doubling.
	retryFirst   = 50 * time.Millisecond
	retryLongest = 800 * time.Millisecond
	// returnGrace is how long after an outage missing items are kept: their
	// writers need up to two seconds to write them again.
	returnGrace = 2500 * time.Millisecond
)

// Snapshot is the state of a prefix.
type Snapshot struct {
	Items map[string]Item
	At    Revision
}

// Options configure a Follower.
type Options struct {
	Store  Store
	Prefix string
	// Pace is the shortest time between two watches. Where items change all the
	// time, it joins changes into fewer calls.
	Pace time.Duration
	// Wait is how long one watch waits for a change. A connection that has gone
	// silent is noticed after it.
	Wait    time.Duration
	Changed func(Snapshot) // must not keep the map
	Logger  log.Logger
}

// Follower follows one prefix.
type Follower struct {
	opts Options

	items     map[string]Item
	missing   map[string]time.Time // kept after an outage until then
	at        Revision
	failing   bool
	pause     time.Duration
	graceTill time.Time
	known     bool
}

// New returns a Follower that knows nothing yet.
func New(opts Options) *Follower {
	return &Follower{opts: opts, items: make(map[string]Item), missing: make(map[string]time.Time), pause: retryFirst}
}

// Run follows the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.load(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		for ctx.Err() == nil {
			err := f.watch(ctx)
			if errors.Is(err, ErrForgotten) {
				_ = f.opts.Logger.Log("level", "info", "msg", "reading all items again", "prefix", f.opts.Prefix, "cause", err)
				break
			}
			if err != nil {
				f.failed(ctx, err)
				break
			}
			f.works()
			_ = sleeper.Sleep(ctx, f.opts.Pace) // the loop sees the end of ctx
		}
	}
	return nil
}

// load reads all items.
func (f *Follower) load(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "reading items under %s", f.opts.Prefix) }()
	next := make(map[string]Item)
	var at Revision
	after := ""
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return err
		}
		if at == 0 {
			at = page.At // changes during later pages are in the watch
		}
		for _, item := range page.Items {
			next[item.Key] = item
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	if f.known && at < f.at {
		return errors.Newf("revision %d is before %d", at, f.at)
	}
	f.works() // before the merge, which depends on when the outage ended
	f.merge(next, at)
	return nil
}

func (f *Follower) page(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	return f.opts.Store.Range(ctx, f.opts.Prefix, after)
}

// merge takes over what was read. What is missing right after an outage is kept
// for a while.
func (f *Follower) merge(next map[string]Item, at Revision) {
	for key, item := range f.items {
		if _, ok := next[key]; ok {
			delete(f.missing, key)
		} else if time.Now().Before(f.graceTill) {
			f.missing[key] = f.graceTill
			next[key] = item
		}
	}
	f.items, f.at, f.known = next, at, true
	f.opts.Changed(Snapshot{Items: f.items, At: f.at})
}

// watch waits for changes and takes them over.
func (f *Follower) watch(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "watching items under %s", f.opts.Prefix) }()
	wait := f.opts.Wait
	if len(f.missing) > 0 {
		wait = min(wait, returnGrace/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, err := f.opts.Store.Watch(ctx, f.opts.Prefix, f.at, wait)
	if err != nil {
		return err
	}
	changed := f.expire()
	for _, item := range changes.Items {
		changed = f.apply(item) || changed
	}
	f.at = max(f.at, changes.At)
	if changed {
		f.opts.Changed(Snapshot{Items: f.items, At: f.at})
	}
	return nil
}

// apply takes one change over and reports whether it shows.
func (f *Follower) apply(item Item) bool {
	known, ok := f.items[item.Key]
	if ok && item.Revision <= known.Revision {
		return false
	}
	if item.Deleted {
		if ok && time.Now().Before(f.graceTill) {
			f.missing[item.Key] = f.graceTill
			return false
		}
		delete(f.items, item.Key)
		return ok
	}
	delete(f.missing, item.Key)
	f.items[item.Key] = item
	return true
}

// expire drops the items that did not come back after an outage.
func (f *Follower) expire() (changed bool) {
	for key, until := range f.missing {
		if time.Now().After(until) {
			delete(f.missing, key)
			delete(f.items, key)
			changed = true
		}
	}
	return changed
}

// failed notes a call without success and waits before the next one.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		_ = f.opts.Logger.Log("level", "warn", "msg", "store lost", "prefix", f.opts.Prefix, "revision", f.at, "err", err)
	}
	f.failing = true
	_ = sleeper.Sleep(ctx, f.pause/2+rand.N(f.pause)) // the caller sees the end of ctx
	f.pause = min(2*f.pause, retryLongest)
}

func (f *Follower) works() {
	f.pause = retryFirst
	if !f.failing {
		return
	}
	f.failing = false
	f.graceTill = time.Now().Add(returnGrace)
	_ = f.opts.Logger.Log("level", "info", "msg", "store regained", "prefix", f.opts.Prefix, "revision", f.at)
}
