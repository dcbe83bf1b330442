package platformcaller_test

import (
	"context"
	"flag"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/standin/platformserver"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// service is the key-value service as one caller uses it.
type service interface {
	platformcaller.Store
	platformcaller.Lister
	platformcaller.Leaser
}

// setup is a service and the FakeService behind it, on which tests set faults.
type setup struct {
	service
	fake *platformcaller.FakeService
}

const (
	testCaller     identifier.VMID          = "vm-1"
	testDomain     identifier.FailureDomain = "perth-a"
	testWatchBound                          = 50 * time.Millisecond
	testTimeout                             = time.Second
)

// forEachService runs a test with a FakeService directly and with a Client over HTTP.
func forEachService(t *testing.T, test func(t *testing.T, ctx context.Context, s setup)) {
	t.Run("memory", func(t *testing.T) {
		m := platformcaller.NewFakeService(platformcaller.FakeOptions{MaxWatchWait: testWatchBound})
		t.Cleanup(m.Close)
		test(t, t.Context(), setup{service: m.CallerView(testCaller, testDomain), fake: m})
	})
	t.Run("http", func(t *testing.T) {
		s := platformserver.New(platformserver.Options{WatchBound: testWatchBound})
		hs := httptest.NewServer(s.Handler())
		c, err := platformcaller.New(platformcaller.Options{
			BaseURL: hs.URL, Caller: testCaller, FailureDomain: testDomain, Timeout: testTimeout,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			s.Memory().Close()
			c.Close()
			hs.Close()
		})
		test(t, t.Context(), setup{service: c, fake: s.Memory()})
	})
}

// expectError fails the test unless err is of type E.
func expectError[E error](t *testing.T, err error) {
	t.Helper()
	_ = asError[E](t, err)
}

// asError returns err as a value of type E or fails the test.
func asError[E error](t *testing.T, err error) E {
	t.Helper()
	var target E
	if !errors.As(err, &target) {
		t.Fatalf("got error %v, want a %T", err, target)
	}
	return target
}

func mustSwap(t *testing.T, ctx context.Context, s setup, key string, expected platformcaller.Revision, data string) platformcaller.Revision { //nolint:revive // t goes first in helpers
	t.Helper()
	r, err := s.CompareAndSwap(ctx, key, expected, []byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func expectValue(t *testing.T, ctx context.Context, s setup, key, want string) platformcaller.Revision { //nolint:revive // t goes first in helpers
	t.Helper()
	v, err := s.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	if string(v.Data) != want {
		t.Fatalf("key %s: got %q, want %q", key, v.Data, want)
	}
	return v.Revision
}

func TestSwapRequiresTheExpectedRevision(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		first := mustSwap(t, ctx, s, "rosters/perth-a", 0, "one")
		_, err := s.CompareAndSwap(ctx, "rosters/perth-a", 0, []byte("two"))
		conflict := asError[*platformcaller.ConflictError](t, err)
		want := platformcaller.Value{Data: []byte("one"), Revision: first}
		if diff := cmp.Diff(want, conflict.Current); diff != "" {
			t.Errorf("conflict (-want +got):\n%s", diff)
		}
		if second := mustSwap(t, ctx, s, "rosters/perth-a", first, "two"); second <= first {
			t.Errorf("got revision %d after %d", second, first)
		}
		expectValue(t, ctx, s, "rosters/perth-a", "two")
		if r := expectValue(t, ctx, s, "absent", ""); r != 0 {
			t.Errorf("got revision %d of an absent key", r)
		}
	})
}

func TestSwapBoundsTheValue(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		largest := make([]byte, platformcaller.MaxValueSize)
		if _, err := s.CompareAndSwap(ctx, "k", 0, largest); err != nil {
			t.Fatal(err)
		}
		_, err := s.CompareAndSwap(ctx, "l", 0, append(largest, 0))
		expectError[*platformcaller.BadRequestError](t, err)
	})
}

func TestWatchReturnsTheChangeOrTheBound(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		first := mustSwap(t, ctx, s, "k", 0, "one")
		v, err := s.Watch(ctx, "k", first)
		if err != nil || v.Revision != first {
			t.Fatalf("got %v, %v after the longest wait, want the same value", v, err)
		}
		done := make(chan platformcaller.Value, 1)
		go func() {
			var v platformcaller.Value
			for v.Revision <= first {
				var err error
				if v, err = s.Watch(ctx, "k", first); err != nil {
					t.Error(err)
					break
				}
			}
			done <- v
		}()
		mustSwap(t, ctx, s, "k", first, "two")
		if v := <-done; string(v.Data) != "two" {
			t.Errorf("got %q, want two", v.Data)
		}
	})
}

func TestDownHasNoEffect(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		s.fake.SetFaults(platformcaller.Faults{Down: true})
		_, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"))
		expectError[*platformcaller.UnavailableError](t, err)
		_, err = s.Get(ctx, "k")
		expectError[*platformcaller.UnavailableError](t, err)
		_, err = s.VMs(ctx)
		expectError[*platformcaller.UnavailableError](t, err)
		_, err = s.Grant(ctx, time.Minute)
		expectError[*platformcaller.UnavailableError](t, err)
		s.fake.SetFaults(platformcaller.Faults{})
		expectValue(t, ctx, s, "k", "")
	})
}

func TestDownFailsWaitingWatches(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		failed := make(chan error, 1)
		go func() {
			for {
				if _, err := s.Watch(ctx, "k", 0); err != nil {
					failed <- err
					return
				}
			}
		}()
		s.fake.SetFaults(platformcaller.Faults{Down: true})
		expectError[*platformcaller.UnavailableError](t, <-failed)
	})
}

func TestLostAnswerLeavesTheWriteInEffect(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		s.fake.SetFaults(platformcaller.Faults{LoseResponses: 1})
		_, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"))
		expectError[*platformcaller.OutcomeUnknownError](t, err)
		r := expectValue(t, ctx, s, "k", "one")
		mustSwap(t, ctx, s, "k", r, "two")
	})
}

func TestGetFromSlowServiceIsUnavailable(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		s.fake.SetFaults(platformcaller.Faults{Delay: time.Minute})
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := s.Get(short, "k")
		expectError[*platformcaller.UnavailableError](t, err)
	})
}

func TestOnlyCutCallersAreRefused(t *testing.T) {
	for name, faults := range map[string]platformcaller.Faults{
		"caller": {CutCallers: []identifier.VMID{testCaller}},
		"domain": {CutFailureDomains: []identifier.FailureDomain{testDomain}},
	} {
		t.Run(name, func(t *testing.T) {
			forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
				s.fake.SetFaults(faults)
				_, err := s.Get(ctx, "k")
				expectError[*platformcaller.UnavailableError](t, err)
				if _, err := s.fake.CallerView("vm-2", "perth-b").Get(ctx, "k"); err != nil {
					t.Errorf("another caller got %v", err)
				}
			})
		})
	}
}

func TestLapsedLeaseDeletesItsKeys(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		lease, err := s.Grant(ctx, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		r, err := s.CompareAndSwapLeased(ctx, "bound", 0, []byte("one"), lease)
		if err != nil {
			t.Fatal(err)
		}
		mustSwap(t, ctx, s, "free", 0, "one")
		if err := s.KeepAlive(ctx, lease); err != nil {
			t.Fatal(err)
		}
		s.fake.Lapse(lease)
		v, err := s.Watch(ctx, "bound", r)
		if err != nil || v.Revision != 0 {
			t.Errorf("got %v, %v, want an absent key", v, err)
		}
		expectValue(t, ctx, s, "free", "one")
		lapsed := asError[*platformcaller.LeaseLapsedError](t, s.KeepAlive(ctx, lease))
		if lapsed.Lease != lease {
			t.Errorf("got lease %d in the error, want %d", lapsed.Lease, lease)
		}
		_, err = s.CompareAndSwapLeased(ctx, "bound", 0, []byte("two"), lease)
		expectError[*platformcaller.LeaseLapsedError](t, err)
	})
}

func TestVMsListsWhatIsRegistered(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		want := []platformcaller.VM{
			{ID: "backend-1", Kind: platformcaller.BackendServer, FailureDomain: "perth-a", Address: "127.0.0.1:1", State: platformcaller.Leaving, Slots: 8},
			{ID: "vm-1", Kind: platformcaller.EntryVM, FailureDomain: "perth-a", Address: "127.0.0.1:2", State: platformcaller.Live},
		}
		if err := s.fake.Register(ctx, want, 0); err != nil {
			t.Fatal(err)
		}
		got, err := s.VMs(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("VMs (-want +got):\n%s", diff)
		}
		if err := s.fake.Remove(ctx, []string{"vm-1"}); err != nil {
			t.Fatal(err)
		}
		if got, err = s.VMs(ctx); err != nil || len(got) != 1 {
			t.Errorf("got %v, %v after the removal", got, err)
		}
	})
}

func TestCountersCountAWatchOnce(t *testing.T) {
	forEachService(t, func(t *testing.T, ctx context.Context, s setup) {
		mustSwap(t, ctx, s, "k", 0, "one")
		expectValue(t, ctx, s, "k", "one")
		for range 2 {
			if _, err := s.Watch(ctx, "k", 1); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := s.VMs(ctx); err != nil {
			t.Fatal(err)
		}
		want := platformcaller.Counters{Reads: 1, Writes: 1, Watches: 2, Lists: 1}
		if got := s.fake.Counters()[testCaller]; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

func TestWriteWithoutConnectionHasNoEffect(t *testing.T) {
	hs := httptest.NewServer(nil)
	url := hs.URL
	hs.Close()
	c, err := platformcaller.New(platformcaller.Options{BaseURL: url})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.CompareAndSwap(t.Context(), "k", 0, nil)
	expectError[*platformcaller.UnavailableError](t, err)
}

func TestForeignResponseToAWriteLeavesTheOutcomeUnknown(t *testing.T) {
	hs := httptest.NewServer(nil) // answers 404 without an errorResponse
	defer hs.Close()
	c, err := platformcaller.New(platformcaller.Options{BaseURL: hs.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.CompareAndSwap(t.Context(), "k", 0, nil)
	expectError[*platformcaller.OutcomeUnknownError](t, err)
}

func TestRecorderRecordsCalls(t *testing.T) {
	m := platformcaller.NewFakeService(platformcaller.FakeOptions{})
	defer m.Close()
	r := platformcaller.NewRecorder(m, m)
	if _, err := r.CompareAndSwap(t.Context(), "k", 0, []byte("one")); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	want := []platformcaller.Call{
		{Kind: platformcaller.SwapCall, Key: "k", Result: 1},
		{Kind: platformcaller.GetCall, Key: "k", Result: 1},
	}
	if diff := cmp.Diff(want, r.Calls()); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
	if got := r.Counters().Total(); got != 2 {
		t.Errorf("got %d calls, want 2", got)
	}
}
