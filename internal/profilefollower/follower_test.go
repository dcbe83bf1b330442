package profilefollower

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// cluster connects the followers of several VMs that share one in-memory store.
type cluster struct {
	store     *platformcaller.FakeService
	mu        sync.Mutex
	followers map[identifier.Member]*Follower
}

func newCluster(t *testing.T) *cluster {
	s := &cluster{store: platformcaller.NewFakeService(platformcaller.FakeOptions{}), followers: make(map[identifier.Member]*Follower)}
	t.Cleanup(func() {
		for _, f := range s.followers {
			if err := f.Close(); err != nil {
				t.Error(err)
			}
		}
		s.store.Close()
	})
	return s
}

// boot starts a follower on a VM and links it to all others.
func (s *cluster) boot(name identifier.VMID, domain identifier.FailureDomain) (*Follower, *profilewriter.Writer) {
	self := identifier.Member{VM: name, Incarnation: 1}
	store := s.store.CallerView(name, domain)
	f := New(Options{
		Self: self, Domain: domain, Store: store,
		Send:    func(to identifier.Member, m peermessenger.Message) { s.send(self, to, m) },
		Adopted: func(profilekeeper.Book) {},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[self] = f
	for member, other := range s.followers {
		var peers []profilekeeper.Peer
		for m, p := range s.followers {
			if m != member {
				peers = append(peers, profilekeeper.Peer{Member: m, Domain: p.opts.Domain})
			}
		}
		other.PeersChanged(peers)
	}
	return f, profilewriter.New(profilewriter.Options{Store: store, CurrentBook: f.Book, BookSeen: f.BookSeen})
}

func (s *cluster) send(from, to identifier.Member, m peermessenger.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.followers[to]; f != nil {
		f.EnqueueMessage(from, m)
	}
}

func (s *cluster) expectVersion(t *testing.T, version identifier.ProfileVersion) {
	t.Helper()
	for member, f := range s.followers {
		if got := f.Book().Version; got != version {
			t.Errorf("%v has version %d, want %d", member, got, version)
		}
	}
}

func createRequest(name identifier.ProfileName) profilekeeper.Request {
	p := profileparser.Default()
	p.Name = name
	return profilekeeper.Request{
		ID: identifier.ChangeID(name), Author: "ada", Reason: "test", At: time.Now(),
		Operations: []profilekeeper.Operation{profilekeeper.CreateProfile{Profile: p}},
	}
}

// TestFollow checks that a change is in force on all VMs within one second, and
// within six seconds while one failure domain cannot reach the store; that a VM that
// boots during a store outage gets the newest book from its peers; and that a change
// during an outage is refused as not made.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t)
		_, writer := s.boot("a0", "perth-a")
		for i := range 6 {
			s.boot(identifier.VMID(fmt.Sprint("vm", i)), identifier.FailureDomain([]string{"perth-a", "perth-b", "perth-c"}[i%3]))
		}
		time.Sleep(2 * time.Second)
		if _, err := writer.Write(t.Context(), createRequest("first")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.expectVersion(t, 1)

		s.store.SetFaults(platformcaller.Faults{CutFailureDomains: []identifier.FailureDomain{"perth-b"}})
		time.Sleep(10 * time.Second)
		if _, err := writer.Write(t.Context(), createRequest("second")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		s.expectVersion(t, 2)

		s.store.SetFaults(platformcaller.Faults{Down: true})
		s.boot("late", "perth-c")
		var notMade *profilewriter.NotMadeError
		if _, err := writer.Write(t.Context(), createRequest("third")); !errors.As(err, &notMade) {
			t.Errorf("Write() during a store outage = %v, want a *NotMadeError", err)
		}
		time.Sleep(2 * time.Second)
		s.expectVersion(t, 2)
	})
}

// TestSilentStore checks that a VM stops reporting that it watches the store when
// the store accepts calls but never answers.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t)
		f, _ := s.boot("a0", "perth-a")
		time.Sleep(time.Second)
		if !f.Status().Watching {
			t.Error("Status().Watching is false although the store answers")
		}
		s.store.SetFaults(platformcaller.Faults{Delay: time.Hour})
		time.Sleep(maxWatchTime + 2*readTimeout)
		if f.Status().Watching {
			t.Error("Status().Watching is true although the store no longer answers")
		}
	})
}

// TestStoreCalls checks that in steady state only the watcher of a failure domain
// calls the store, at most twice per maxWatchTime.
func TestStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t)
		for i := range 6 {
			s.boot(identifier.VMID(fmt.Sprint("vm", i)), "perth-a")
		}
		time.Sleep(10 * time.Second)
		before := storeCalls(s)
		const span = 10 * time.Minute
		time.Sleep(span)
		made, most := storeCalls(s)-before, uint64(2*span/maxWatchTime)
		if made > most {
			t.Errorf("%d calls in %v, want at most %d", made, span, most)
		}
		t.Logf("%d calls in %v", made, span)
	})
}

func storeCalls(s *cluster) uint64 {
	total := uint64(0)
	for _, counters := range s.store.Counters() {
		total += counters.Total()
	}
	return total
}

// TestWriteGivesUp checks that a write is reported neither as made nor as not made
// if its answer is lost and the store stays unreachable.
func TestWriteGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t)
		_, writer := s.boot("a0", "perth-a")
		s.store.SetFaults(platformcaller.Faults{LoseResponses: 1, Delay: 100 * time.Millisecond})
		time.AfterFunc(175*time.Millisecond, func() { s.store.SetFaults(platformcaller.Faults{Down: true}) })
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var unknown *profilewriter.OutcomeUnknownError
		if _, err := writer.Write(ctx, createRequest("first")); !errors.As(err, &unknown) {
			t.Errorf("Write() = %v, want an *OutcomeUnknownError", err)
		}
	})
}
