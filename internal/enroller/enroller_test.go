package enroller

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const domain = "perth-a"

func member(vm string, incarnation identifier.Incarnation) identifier.Member {
	return identifier.Member{VM: identifier.VMID(vm), Incarnation: incarnation}
}

func entries(members ...identifier.Member) (entries []RosterMember) {
	for _, m := range members {
		entries = append(entries, RosterMember{Member: m, Address: string(m.VM)})
	}
	return entries
}

func newEnroller(self identifier.Member) *Enroller {
	return New(Options{Domain: domain, Self: self, Address: string(self.VM), Rand: rand.New(rand.NewPCG(1, 1))})
}

// find returns the first effect of a type.
func find[E Effect](effects []Effect) (found E, ok bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	return found, false
}

func must[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	found, ok := find[E](effects)
	if !ok {
		t.Fatalf("no %T among %v", found, effects)
	}
	return found
}

func mustNot[E Effect](t *testing.T, effects []Effect) {
	t.Helper()
	if found, ok := find[E](effects); ok {
		t.Fatalf("unexpected %#v", found)
	}
}

// newJoined returns an enroller whose roster has the given members.
func newJoined(self identifier.Member, others ...identifier.Member) (*Enroller, *Roster) {
	e := newEnroller(self)
	r := NewRoster(start, domain, entries(append(others, self)...))
	e.Step(start, Tick{})
	e.Step(start, RosterRead{Roster: r, Revision: 1})
	return e, r
}

func TestLostSwapAnswerIsResolvedByReading(t *testing.T) {
	a := member("a", 1)
	e := newEnroller(a)
	must[ReadRoster](t, e.Step(start, Tick{}))
	swap := must[SwapRoster](t, e.Step(start, RosterRead{}))
	if swap.Expected != 0 || swap.Roster.Epoch != 1 {
		t.Fatalf("swap %+v", swap)
	}
	mustNot[RosterAdopted](t, e.Step(start, SwapUnknown{}))
	mustNot[ReadRoster](t, e.Step(start, Tick{}))
	later := start.Add(time.Second)
	must[ReadRoster](t, e.Step(later, Tick{}))
	effects := e.Step(later, RosterRead{Roster: swap.Roster, Revision: 1})
	if got := must[RosterAdopted](t, effects); got.Roster != swap.Roster {
		t.Errorf("adopted %+v", got.Roster)
	}
	mustNot[SwapRoster](t, effects)
}

func TestUnchangedRosterMakesNoStoreCalls(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	e, r := newJoined(a, b)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		effects := e.Step(now, PeerMessage{From: b, Message: peermessenger.Heartbeat{Member: b, Epoch: r.Epoch}})
		effects = append(effects, e.Step(now, Tick{})...)
		mustNot[ReadRoster](t, effects)
		mustNot[SwapRoster](t, effects)
	}
}

func TestLaterEpochIsRequestedAndAdopted(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	e, r := newJoined(a, b)
	next, _ := r.Next(start, entries(a, b, member("c", 1)), false)
	send := must[Send](t, e.Step(start, PeerMessage{From: b, Message: peermessenger.Heartbeat{Member: b, Epoch: 2}}))
	if send.To != b || send.Message != (peermessenger.RosterRequest{}) {
		t.Errorf("sent %+v", send)
	}
	value, err := EncodeRoster(next)
	if err != nil {
		t.Fatal(err)
	}
	reply := PeerMessage{From: b, Message: peermessenger.RosterReply{Value: value}}
	if got := must[RosterAdopted](t, e.Step(start, reply)); !reflect.DeepEqual(got.Roster, next) {
		t.Errorf("adopted %+v, want %+v", got.Roster, next)
	}
	mustNot[RosterAdopted](t, e.Step(start, reply))
}

func TestSilentMemberIsRemovedByMemberThatHearsHalf(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 1), member("c", 1), member("d", 1)
	now := start.Add(DefaultSuspectAfter + 5*time.Second)
	tests := []struct {
		name  string
		heard []identifier.Member
		want  []identifier.Member
	}{
		{"one silent", []identifier.Member{b, c}, []identifier.Member{a, b, c}},
		{"half silent", []identifier.Member{b}, []identifier.Member{a, b}},
		{"isolated", nil, nil},
	}
	for _, tt := range tests {
		e, r := newJoined(a, b, c, d)
		for at := start; at.Before(now); at = at.Add(time.Second) {
			for _, m := range tt.heard {
				e.Step(at, PeerHeard{m})
			}
			e.Step(at, Tick{})
		}
		swap, ok := find[SwapRoster](e.Step(now, RosterRead{Roster: r, Revision: 1}))
		if ok != (tt.want != nil) {
			t.Errorf("%s: swap %t", tt.name, ok)
			continue
		}
		if ok && !reflect.DeepEqual(swap.Roster.Members, entries(tt.want...)) {
			t.Errorf("%s: members %v, want %v", tt.name, swap.Roster.Members, tt.want)
		}
	}
}

func TestPausedMemberRemovesNoPeers(t *testing.T) {
	a, b, c := member("a", 1), member("b", 1), member("c", 1)
	e, r := newJoined(a, b, c)
	now := start.Add(time.Minute)
	e.Step(now, Tick{})
	mustNot[SwapRoster](t, e.Step(now, RosterRead{Roster: r, Revision: 1}))
}

func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	a1, a2, b := member("a", 1), member("a", 2), member("b", 1)
	r := NewRoster(start, domain, entries(a1, b))
	e := newEnroller(a2)
	swap := must[SwapRoster](t, e.Step(start, RosterRead{Roster: r, Revision: 7}))
	if swap.Expected != 7 || !reflect.DeepEqual(swap.Roster.Members, entries(a2, b)) {
		t.Errorf("swap %+v", swap.Roster)
	}
	if terminated := must[MemberTerminated](t, e.Step(start, SwapSucceeded{})); terminated.Member != a1 {
		t.Errorf("terminated %s", terminated.Member)
	}
	old := newEnroller(a1)
	mustNot[SwapRoster](t, old.Step(start, RosterRead{Roster: swap.Roster, Revision: 8}))
}

func TestVMListProvesThatVMWasDeleted(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	lacking, both := []identifier.VMID{"a"}, []identifier.VMID{"a", "b"}
	late := start.Add(DefaultDeletedAfter)
	soon := late.Add(-time.Second)
	type read struct {
		at   time.Time
		list VMListRead
	}
	tests := []struct {
		name       string
		listed     bool // in the roster
		reads      []read
		terminated bool
	}{
		{"listed, then missing", false, []read{{start, VMListRead{0, both}}, {start, VMListRead{0, lacking}}, {late, VMListRead{0, lacking}}}, true},
		{"missing for less than DeletedAfter", false, []read{{start, VMListRead{0, both}}, {start, VMListRead{0, lacking}}, {soon, VMListRead{0, lacking}}}, false},
		{"never listed", false, []read{{start, VMListRead{0, lacking}}, {late, VMListRead{0, lacking}}}, false},
		{"listed to the member that joined", true, []read{{start, VMListRead{0, lacking}}, {late, VMListRead{0, lacking}}}, true},
		{"no later list was read", true, []read{{start, VMListRead{0, lacking}}}, false},
		{"no list was read", true, nil, false},
		{"list with a lower revision", false, []read{{start, VMListRead{2, both}}, {start, VMListRead{1, lacking}}, {late, VMListRead{1, lacking}}}, false},
		{"listed again", false, []read{{start, VMListRead{0, both}}, {start, VMListRead{0, lacking}}, {soon, VMListRead{0, both}}, {late, VMListRead{0, lacking}}}, false},
	}
	for _, tt := range tests {
		e := newEnroller(a)
		members := entries(a, b)
		members[1].Listed = tt.listed
		e.Step(start, RosterRead{Roster: NewRoster(start, domain, members), Revision: 1})
		var effects []Effect
		for _, r := range tt.reads {
			e.Step(r.at, r.list)
			effects = append(effects, e.Step(r.at, Tick{})...)
		}
		effects = append(effects, e.Step(late.Add(time.Hour), Tick{})...)
		if _, terminated := find[MemberTerminated](effects); terminated != tt.terminated {
			t.Errorf("%s: terminated %t", tt.name, terminated)
		}
	}
}

func TestMemberRecordsListingAfterJoining(t *testing.T) {
	a := member("a", 1)
	e, r := newJoined(a)
	mustNot[ReadRoster](t, e.Step(start, Tick{}))
	e.Step(start, VMListRead{VMs: []identifier.VMID{"a"}})
	now := start.Add(DefaultRetryMax)
	must[ReadRoster](t, e.Step(now, Tick{}))
	swap := must[SwapRoster](t, e.Step(now, RosterRead{Roster: r, Revision: 1}))
	if !swap.Roster.Members[0].Listed {
		t.Errorf("swap %+v", swap.Roster.Members)
	}
	e.Step(now, SwapSucceeded{})
	e.Step(now, VMListRead{})
	mustNot[ReadRoster](t, e.Step(now.Add(time.Minute), Tick{}))
}

func TestFullHistoryPreventsRosterChange(t *testing.T) {
	a := member("a", 1)
	r := NewRoster(start, domain, entries(a))
	for range MaxHistory {
		next, ok := r.Next(start, r.Members, false)
		if !ok {
			t.Fatalf("no room in epoch %d", r.Epoch)
		}
		r = next
	}
	if _, ok := r.Next(start, r.Members, false); ok {
		t.Error("a full history grew")
	}
	next, ok := r.Next(start, r.Members, true)
	if !ok || next.Base != r.Epoch || len(next.History) != 1 {
		t.Errorf("roster that has caught up: base %d, %d epochs", next.Base, len(next.History))
	}
	if members, ok := next.MembersAt(r.Epoch); !ok || !reflect.DeepEqual(members, r.Members) {
		t.Errorf("members of epoch %d: %v, %t", r.Epoch, members, ok)
	}
}

// FuzzDecodeRoster checks that an accepted roster can be encoded and decoded
// again.
func FuzzDecodeRoster(f *testing.F) {
	r := NewRoster(start, domain, entries(member("a", 1), member("b", 2)))
	next, _ := r.Next(start, r.Members[:1], false)
	for _, r := range []*Roster{r, next} {
		value, err := EncodeRoster(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Add([]byte(`{"domain":"x","epoch":2,"base":1,"history":[{"epoch":1,"members":[]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := DecodeRoster(value)
		if err != nil {
			return
		}
		for epoch := r.Base; epoch <= r.Epoch; epoch++ {
			if _, ok := r.MembersAt(epoch); !ok {
				t.Errorf("no members in epoch %d of %s", epoch, value)
			}
		}
		again, err := EncodeRoster(r)
		if err != nil {
			return // the encoding is longer than the value and exceeds the bound
		}
		if _, err := DecodeRoster(again); err != nil {
			t.Errorf("%s: %v", again, err)
		}
	})
}
