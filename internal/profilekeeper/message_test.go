package profilekeeper

import (
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// FuzzMessages checks that no peer message makes a Keeper panic or return to an
// older version, and that every book it adopts is consistent.
func FuzzMessages(f *testing.F) {
	b, _, _ := Book{}.Apply(newRequest(1, CreateProfile{Profile: newProfile("a", 1)}))
	next, _, _ := b.Apply(newRequest(2, ChangeProfile{Profile: newProfile("a", 2), Base: 1}))
	changes, _ := next.ChangesSince(1)
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
		k := New(startTime, Options{Self: identifier.Member{VM: "self", Incarnation: 1}, Domain: "perth-a"})
		k.Step(startTime, PeersChanged{Peers: []Peer{{Member: peer, Domain: "perth-a"}}})
		k.Step(startTime, BookWritten{Book: b})
		k.Step(startTime, PeerMessage{From: peer, Message: m})
		k.Step(startTime.Add(pullJitter), Tick{})
		if k.Book().Version < b.Version {
			t.Fatalf("the version decreased to %d", k.Book().Version)
		}
		if err := k.Book().Verify(); err != nil {
			t.Fatal(err)
		}
	})
}
