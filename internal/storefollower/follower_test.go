package storefollower

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// fakeStore is a store in memory with faults that tests set.
type fakeStore struct {
	mu       sync.Mutex
	revision Revision
	lostUpTo Revision // watches after a lower revision get ErrHistoryLost
	items    map[string]Item
	history  []Item
	down     bool
	calls    int
	reads    int // calls of Range
}

// withLock runs change while it holds the lock.
func (s *fakeStore) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: []byte(value), Revision: s.revision}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *fakeStore) Range(_ context.Context, prefix, after string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.reads++
	if s.down {
		return Page{}, errors.New("down")
	}
	page := Page{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == 2 {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	return page, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) && !s.down && s.revision <= after {
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		if ctx.Err() != nil {
			return Changes{}, ctx.Err()
		}
	}
	switch {
	case s.down:
		return Changes{}, errors.New("down")
	case after < s.lostUpTo:
		return Changes{}, ErrHistoryLost
	}
	changes := Changes{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision > after {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes, nil
}

// withFollower runs a scenario on a fake store with a running Follower. The function
// values returns the Follower's keys and values, such as "a1 b1".
func withFollower(t *testing.T, scenario func(s *fakeStore, values func() string)) {
	t.Helper()
	runFollower(t, Options{}, func(_ *Follower, s *fakeStore, values func() string) { scenario(s, values) })
}

// runFollower is withFollower with options that the scenario needs, and the Follower.
func runFollower(t *testing.T, opts Options, scenario func(f *Follower, s *fakeStore, values func() string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{revision: 10, items: make(map[string]Item)}
		for _, key := range []string{"p/a", "p/b", "p/c", "q/z"} {
			s.put(key, "1")
		}
		var latest Snapshot
		opts.Store, opts.Prefix, opts.MinInterval, opts.Wait, opts.Logger = s, "p/", 50*time.Millisecond, time.Second, log.NewNopLogger()
		opts.OnChange = func(snapshot Snapshot) {
			s.withLock(func() { latest = Snapshot{Items: maps.Clone(snapshot.Items), Revision: snapshot.Revision} })
		}
		f := New(opts)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = f.Run(ctx)
			close(done)
		}()
		scenario(f, s, func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			var list []string
			for _, key := range slices.Sorted(maps.Keys(latest.Items)) {
				list = append(list, strings.TrimPrefix(key, "p/")+string(latest.Items[key].Value))
			}
			return strings.Join(list, " ")
		})
		cancel()
		<-done
	})
}

func expectValues(t *testing.T, values func() string, want string) {
	t.Helper()
	if got := values(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestFollow checks that the copy holds the items of several pages and follows changes
// and deletions.
func TestFollow(t *testing.T) {
	withFollower(t, func(s *fakeStore, values func() string) {
		time.Sleep(100 * time.Millisecond)
		expectValues(t, values, "a1 b1 c1")
		s.put("p/b", "2")
		s.remove("p/c")
		time.Sleep(200 * time.Millisecond)
		expectValues(t, values, "a1 b2")
	})
}

// TestLostHistory checks that all items are read again when the store no longer
// has the changes that a watch asks for.
func TestLostHistory(t *testing.T) {
	withFollower(t, func(s *fakeStore, values func() string) {
		time.Sleep(100 * time.Millisecond)
		s.put("p/b", "2")
		s.withLock(func() { s.history, s.lostUpTo = nil, s.revision+1 })
		time.Sleep(200 * time.Millisecond)
		expectValues(t, values, "a1 b2 c1")
	})
}

// TestOutage checks that the items are kept while the store is down. Items that lapsed
// meanwhile are kept for outageGrace, in which their writers write them again.
func TestOutage(t *testing.T) {
	withFollower(t, func(s *fakeStore, values func() string) {
		time.Sleep(100 * time.Millisecond)
		s.withLock(func() { s.down = true })
		time.Sleep(5 * time.Second)
		expectValues(t, values, "a1 b1 c1")
		s.remove("p/a")
		s.remove("p/b")
		s.withLock(func() { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		expectValues(t, values, "a1 b1 c1")
		s.put("p/a", "2")
		time.Sleep(500 * time.Millisecond)
		expectValues(t, values, "a2 b1 c1")
		time.Sleep(5 * time.Second)
		expectValues(t, values, "a2 c1")
	})
}

// TestDurableItemsAreGoneWithTheOutage guards against items that count as lapsed, and are
// kept, though they were removed during an outage.
func TestDurableItemsAreGoneWithTheOutage(t *testing.T) {
	runFollower(t, Options{Durable: true}, func(_ *Follower, s *fakeStore, values func() string) {
		time.Sleep(100 * time.Millisecond)
		s.withLock(func() { s.down = true })
		time.Sleep(5 * time.Second)
		expectValues(t, values, "a1 b1 c1")
		s.remove("p/a")
		s.withLock(func() { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		expectValues(t, values, "b1 c1")
	})
}

// TestCallsInAnOutage checks that a store that is down is not called in a tight loop.
func TestCallsInAnOutage(t *testing.T) {
	withFollower(t, func(s *fakeStore, _ func() string) {
		time.Sleep(100 * time.Millisecond)
		var before, after int
		s.withLock(func() { s.down, before = true, s.calls })
		time.Sleep(20 * time.Second)
		s.withLock(func() { after = s.calls })
		if n := after - before; n > 60 {
			t.Errorf("%d calls in 20 s", n)
		}
	})
}

// TestRefreshReadsAtOnce checks that a refresh ends the watch in progress, and that the
// store confirms the items as of a time after the refresh was asked for.
func TestRefreshReadsAtOnce(t *testing.T) {
	confirmed := make(chan time.Time, 100)
	opts := Options{OnConfirm: func(asOf time.Time) { confirmed <- asOf }}
	runFollower(t, opts, func(f *Follower, s *fakeStore, values func() string) {
		time.Sleep(200 * time.Millisecond)
		for len(confirmed) > 0 {
			<-confirmed
		}
		asked := time.Now()
		f.Refresh()
		time.Sleep(100 * time.Millisecond)
		select {
		case asOf := <-confirmed:
			if asOf.Before(asked) {
				t.Errorf("confirmed as of %v before the refresh", asked.Sub(asOf))
			}
		default:
			t.Error("not confirmed within 100 ms, while a watch waits a second")
		}
		s.withLock(func() {
			if s.reads != 4 { // two pages each
				t.Errorf("%d reads, want 4", s.reads)
			}
		})
		s.put("p/b", "2")
		time.Sleep(200 * time.Millisecond)
		expectValues(t, values, "a1 b2 c1")
	})
}

// TestOutageConfirmsNothing checks that calls that fail don't confirm the items.
func TestOutageConfirmsNothing(t *testing.T) {
	var confirmations atomic.Int64
	opts := Options{OnConfirm: func(time.Time) { confirmations.Add(1) }}
	runFollower(t, opts, func(f *Follower, s *fakeStore, _ func() string) {
		time.Sleep(100 * time.Millisecond)
		s.withLock(func() { s.down = true })
		time.Sleep(2 * time.Second)
		before := confirmations.Load()
		f.Refresh()
		time.Sleep(5 * time.Second)
		if n := confirmations.Load() - before; n != 0 {
			t.Errorf("%d confirmations during the outage", n)
		}
		s.withLock(func() { s.down = false })
		time.Sleep(3 * time.Second)
		if confirmations.Load() == before {
			t.Error("not confirmed after the outage")
		}
	})
}
