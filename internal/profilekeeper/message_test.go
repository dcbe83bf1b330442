package profilekeeper

import (
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// FuzzMessages holds that no message of a peer makes a keeper panic or go back,
// and that what it adopts is a book whose parts agree.
func FuzzMessages(f *testing.F) {
	b, _, _ := Book{}.Apply(request(1, CreateProfile{Profile: named("a", 1)}))
	next, _, _ := b.Apply(request(2, ChangeProfile{Profile: named("a", 2), Base: 1}))
	changes, _ := next.Since(1)
	for _, m := range []peermessenger.Message{
		peermessenger.ProfileDigest{Version: 2, Chain: uint64(next.Chain), Watching: true},
		peermessenger.ProfilePull{},
		peermessenger.ProfileChanges{Version: 1, Chain: uint64(b.Chain), Changes: mustEncode(changes)},
		peermessenger.ProfileBook{Book: Encode(next)},
	} {
		data, err := peermessenger.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	peer := identifier.Member{VM: "peer", Incarnation: 1}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := peermessenger.Decode(data)
		if err != nil {
			return
		}
		k := New(start, Options{Self: identifier.Member{VM: "self", Incarnation: 1}, Domain: "perth-a"})
		k.Step(start, PeersChanged{Peers: []Peer{{Member: peer, Domain: "perth-a"}}})
		k.Step(start, BookWritten{Book: b})
		k.Step(start, PeerReceived{From: peer, Message: m})
		k.Step(start.Add(pullJitter), Tick{})
		if k.Book().Version < b.Version {
			t.Fatalf("went back to version %d", k.Book().Version)
		}
		if err := k.Book().Verify(); err != nil {
			t.Fatal(err)
		}
	})
}
