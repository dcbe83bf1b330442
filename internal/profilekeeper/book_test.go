package profilekeeper

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 678, time.UTC)

func newProfile(name identifier.ProfileName, weight int) profileparser.Profile {
	p := profileparser.Default()
	p.Name, p.Weight = name, weight
	return p
}

func newRequest(id int, operations ...Operation) Request {
	return Request{ID: identifier.ChangeID(fmt.Sprint("r", id)), Author: "ada", Reason: "test", At: startTime, Operations: operations}
}

func drawOperation(t *rapid.T, b Book) Operation {
	name := identifier.ProfileName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
	e, _ := b.Profile(name)
	base := rapid.SampledFrom([]identifier.ProfileVersion{e.Version, e.Version, e.Version, 0, 1}).Draw(t, "base")
	weight := rapid.IntRange(1, 3).Draw(t, "weight")
	switch rapid.IntRange(0, 4).Draw(t, "operation") {
	case 0:
		return CreateProfile{Profile: newProfile(name, weight), Revive: rapid.Bool().Draw(t, "revive")}
	case 1:
		return ChangeProfile{Profile: newProfile(name, weight), Base: base}
	case 2:
		return RetireProfile{Name: name, Base: base}
	case 3:
		id := authenticator.TokenID(fmt.Sprintf("%012x", rapid.IntRange(1, 3).Draw(t, "token")))
		return CreateToken{Record: authenticator.Record{ID: id, Hash: authenticator.Hash{1}, Team: "desk", CreatedAt: startTime}}
	}
	return RetireToken{ID: authenticator.TokenID(fmt.Sprintf("%012x", rapid.IntRange(1, 3).Draw(t, "token")))}
}

// TestBook checks that a request is applied completely or not at all, that a
// repeated request is recognized, that a peer that applies the changes gets the
// same book, and that only a request with Revive recreates a retired profile.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b, follower Book
		applied := make(map[identifier.ChangeID]Acceptance)
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			var operations []Operation
			for range rapid.IntRange(1, 3).Draw(t, "operations") {
				operations = append(operations, drawOperation(t, b))
			}
			r := newRequest(i, operations...)
			next, accepted, err := b.Apply(r)
			if err != nil {
				if !bytes.Equal(Encode(next), Encode(b)) {
					t.Fatalf("Apply() = %v, but the book changed", err)
				}
				continue
			}
			if accepted.First != b.Version+1 || accepted.Last != next.Version || next.Version != b.Version+identifier.ProfileVersion(len(operations)) {
				t.Fatalf("accepted %+v for %d operations on version %d", accepted, len(operations), b.Version)
			}
			for _, e := range b.Profiles {
				after, known := next.Profile(e.Profile.Name)
				if !known || (e.Profile.Retired && !after.Profile.Retired && !revives(operations, e.Profile.Name)) {
					t.Fatalf("profile %s is missing or was recreated without Revive", e.Profile.Name)
				}
			}
			changes, _ := next.ChangesSince(b.Version)
			if follower, err = follower.withPeerChanges(changes); err != nil || !bytes.Equal(Encode(follower), Encode(next)) {
				t.Fatalf("a peer that applied the changes has a different book: %v", err)
			}
			b = next
			applied[r.ID] = accepted
			if again, repeated, err := b.Apply(r); err != nil || !repeated.Repeated || repeated.Last != accepted.Last || again.Version != b.Version {
				t.Fatalf("repeating %s: %+v, %v", r.ID, repeated, err)
			}
		}
		decoded, err := Decode(Encode(b))
		if err != nil || !bytes.Equal(Encode(decoded), Encode(b)) {
			t.Fatalf("Decode(Encode(b)): %v", err)
		}
	})
}

func revives(operations []Operation, name identifier.ProfileName) bool {
	for _, o := range operations {
		if c, ok := o.(CreateProfile); ok && c.Profile.Name == name && c.Revive {
			return true
		}
	}
	return false
}

func TestApplyRefuses(t *testing.T) {
	b := applyAll(t, Book{},
		newRequest(1, CreateProfile{Profile: newProfile("a", 1)}),
		newRequest(2, CreateProfile{Profile: newProfile("gone", 1)}),
		newRequest(3, ChangeProfile{Profile: newProfile("a", 2), Base: 1}),
		newRequest(4, RetireProfile{Name: "gone", Base: 2}),
	)
	for _, tt := range []struct {
		name string
		r    Request
		want string
	}{
		{"exists", newRequest(9, CreateProfile{Profile: newProfile("a", 1)}), "a exists already, at version 3"},
		{"retired name", newRequest(9, CreateProfile{Profile: newProfile("gone", 1)}), "gone was retired at version 4"},
		{"unknown", newRequest(9, ChangeProfile{Profile: newProfile("b", 1), Base: 1}), "b is not known"},
		{"conflict", newRequest(9, ChangeProfile{Profile: newProfile("a", 5), Base: 1}), "a is at version 3, not at 1; version 3: changed by ada (test)"},
		{"change of a retired profile", newRequest(9, ChangeProfile{Profile: newProfile("gone", 5), Base: 4}), "gone was retired at version 4"},
		{"reused id", newRequest(1, CreateProfile{Profile: newProfile("z", 1)}), "change id r1 stands for another request, accepted at version 1"},
		{"no reason", Request{ID: "x", Author: "ada", Operations: []Operation{RetireProfile{}}}, "reason is empty or too long"},
		{"no operations", newRequest(9), "operations are none or too many"},
		{"token without a holder", newRequest(9, CreateToken{}), "token is not a whole record of one team or one operator"},
		{"unknown token", newRequest(9, RetireToken{ID: "0a"}), "token 0a is not known"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, _, err := b.Apply(tt.r); err == nil || err.Error() != tt.want {
				t.Errorf("Apply() = %v, want %s", err, tt.want)
			}
		})
	}
}

func applyAll(t testing.TB, b Book, requests ...Request) Book {
	t.Helper()
	for _, r := range requests {
		next, _, err := b.Apply(r)
		if err != nil {
			t.Fatalf("%s: %v", r.ID, err)
		}
		b = next
	}
	return b
}

// TestBounds checks the limits of the history, the recent requests and the
// profiles, and that a book at all of these limits can be encoded and decoded.
func TestBounds(t *testing.T) {
	b := applyAll(t, Book{}, newRequest(0, CreateProfile{Profile: newProfile("p0", 1)}))
	for i := range MaxRecentRequests + 1 {
		e, _ := b.Profile("p0")
		b = applyAll(t, b, newRequest(1+i, ChangeProfile{Profile: newProfile("p0", 1+i%5), Base: e.Version}))
	}
	for i := 1; i < MaxProfiles; i += MaxOperations {
		var operations []Operation
		for j := i; j < min(MaxProfiles, i+MaxOperations); j++ {
			operations = append(operations, CreateProfile{Profile: newProfile(identifier.ProfileName(fmt.Sprint("p", j)), 1)})
		}
		b = applyAll(t, b, newRequest(MaxRecentRequests+1+i, operations...))
	}
	var full *BookFullError
	if _, _, err := b.Apply(newRequest(-1, CreateProfile{Profile: newProfile("more", 1)})); !errors.As(err, &full) {
		t.Errorf("profile %d: %v, want a *BookFullError", MaxProfiles+1, err)
	}
	if len(b.Profiles) != MaxProfiles {
		t.Errorf("%d profiles, want %d", len(b.Profiles), MaxProfiles)
	}
	if len(b.Changes) > MaxHistory || b.HistoryBytes > MaxHistoryBytes || len(b.RecentRequests) > MaxRecentRequests {
		t.Errorf("%d changes of %d bytes and %d recent requests", len(b.Changes), b.HistoryBytes, len(b.RecentRequests))
	}
	if _, err := Decode(Encode(b)); err != nil {
		t.Error(err)
	}
}

// TestPlan checks that applying the planned operations reconciles the book with
// the declared profiles, so that a second Plan returns nothing.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		for i, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID).Draw(t, "known") {
			b, _, _ = b.Apply(newRequest(i, CreateProfile{Profile: newProfile(identifier.ProfileName(name), 1)}))
		}
		var declared []profileparser.Profile
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "e"}), rapid.ID).Draw(t, "declared") {
			p := newProfile(identifier.ProfileName(name), rapid.IntRange(1, 2).Draw(t, "weight"))
			p.Retired = rapid.Bool().Draw(t, "retired")
			declared = append(declared, p)
		}
		prune := rapid.Bool().Draw(t, "prune")
		operations := b.Plan(declared, prune)
		if len(operations) == 0 {
			return
		}
		b, _, err := b.Apply(newRequest(100, operations...))
		if err != nil {
			t.Fatal(err)
		}
		if again := b.Plan(declared, prune); len(again) > 0 {
			t.Fatalf("Plan() after applying its operations = %+v, want none", again)
		}
	})
}

// FuzzDecode checks that Decode neither panics nor accepts an inconsistent book.
func FuzzDecode(f *testing.F) {
	b, _, _ := Book{}.Apply(newRequest(1, CreateProfile{Profile: newProfile("a", 1)}))
	f.Add(Encode(b))
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x05})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		if err := b.Verify(); err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(Encode(b)); err != nil {
			t.Fatal(err)
		}
	})
}
