package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	quotaTestQuota = 20
	quotaTestTick  = 10 * time.Millisecond
)

// quotaFleet joins several limiters by a network that loses, repeats, delays
// and reorders messages.
type quotaFleet struct {
	now      time.Time
	rand     *rand.Rand
	loss     float64
	members  []identifier.Member
	limiters []*Limiter
	running  [][]identifier.TaskRef
	backlog  []bool // VMs that always have queued tasks
	inFlight []quotaMessage
	cut      []bool // VMs that no message reaches or leaves
	jobs     int
}

type quotaMessage struct {
	at       time.Time
	from, to int
	message  peermessenger.Message
}

func newQuotaFleet(seed uint64, n int) *quotaFleet {
	f := &quotaFleet{now: epoch, rand: rand.New(rand.NewPCG(seed, 1))}
	for range n {
		f.add()
	}
	f.tellMembers(f.members)
	return f
}

func (f *quotaFleet) add() {
	m := identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", len(f.members))), Incarnation: 1}
	l := New(Options{Self: m, Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 1))})
	l.SetCapacity(f.now, 1000)
	f.members = append(f.members, m)
	f.limiters = append(f.limiters, l)
	f.running = append(f.running, nil)
	f.backlog = append(f.backlog, false)
	f.cut = append(f.cut, false)
}

func (f *quotaFleet) tellMembers(members []identifier.Member) {
	for i := range members {
		f.step(i, MembersSet{Members: members})
	}
}

func (f *quotaFleet) step(i int, e Event) {
	for _, effect := range f.limiters[i].Step(f.now, e) {
		s, ok := effect.(Send)
		if !ok {
			continue
		}
		for k, m := range f.members {
			if m == s.To {
				f.send(i, k, s.Message)
			}
		}
	}
}

func (f *quotaFleet) send(from, to int, m peermessenger.Message) {
	for range 2 {
		if f.rand.Float64() < f.loss || f.cut[from] || f.cut[to] {
			continue
		}
		delay := time.Duration(f.rand.Int64N(int64(100 * time.Millisecond)))
		f.inFlight = append(f.inFlight, quotaMessage{at: f.now.Add(delay), from: from, to: to, message: m})
	}
}

// tick ends and dispatches tasks, and delivers the messages that are due.
func (f *quotaFleet) tick() {
	f.now = f.now.Add(quotaTestTick)
	var due []quotaMessage
	kept := f.inFlight[:0]
	for _, m := range f.inFlight {
		if m.at.After(f.now) {
			kept = append(kept, m)
		} else {
			due = append(due, m)
		}
	}
	f.inFlight = kept
	for _, m := range due {
		f.step(m.to, PeerReceived{From: f.members[m.from], Message: m.message})
	}
	for i, l := range f.limiters {
		f.step(i, Tick{})
		f.endSome(i)
		if f.backlog[i] && l.Queued() < 50 {
			f.jobs++
			l.Admit(f.now, Request{Submission: identifier.SubmissionID(fmt.Sprint(f.jobs)), Team: "a", Quota: quotaTestQuota, Tasks: needs(50, time.Second)})
		}
		f.running[i] = append(f.running[i], l.Next(f.now, 100)...)
	}
}

func (f *quotaFleet) endSome(i int) {
	kept := f.running[i][:0]
	for _, ref := range f.running[i] {
		if f.rand.IntN(10) > 0 {
			kept = append(kept, ref)
			continue
		}
		f.limiters[i].Ended(f.now, ref, time.Second)
	}
	f.running[i] = kept
}

func (f *quotaFleet) total() int {
	n := 0
	for _, refs := range f.running {
		n += len(refs)
	}
	return n
}

// TestQuotaHoldsOverAllVMs checks that several VMs together never run more of a
// team's tasks than its quota, whatever the network does and while a VM joins,
// and that a VM whose peers need nothing gets the use of the whole quota.
func TestQuotaHoldsOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newQuotaFleet(rapid.Uint64Range(1, 1000).Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "vms"))
		f.loss = float64(rapid.IntRange(0, 90).Draw(t, "loss")) / 100
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for range 10 {
					f.tick()
					if n := f.total(); n > quotaTestQuota {
						t.Fatalf("%d tasks run with a quota of %d", n, quotaTestQuota)
					}
				}
			},
			"backlog": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(t, "vm")
				f.backlog[i] = !f.backlog[i]
			},
			"cut": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(t, "vm")
				f.cut[i] = !f.cut[i]
			},
			"join": func(t *rapid.T) {
				if len(f.members) > 9 {
					return
				}
				f.add()
				f.tellAtDifferentTimes()
			},
		})
		f.checkWholeQuota(t)
	})
}

// tellAtDifferentTimes tells the VMs of a new one, within half of the time for
// which shares settle.
func (f *quotaFleet) tellAtDifferentTimes() {
	members := f.members[:len(f.members):len(f.members)]
	for _, i := range f.rand.Perm(len(members)) {
		f.step(i, MembersSet{Members: members})
		if f.rand.IntN(2) == 0 && f.total() <= quotaTestQuota {
			f.tick()
		}
	}
}

// checkWholeQuota has one VM alone want work, over a network without faults.
func (f *quotaFleet) checkWholeQuota(t *rapid.T) {
	f.loss = 0
	for i := range f.members {
		f.cut[i] = false
		f.backlog[i] = i == 0
		f.limiters[i].Step(f.now, Tick{})
	}
	most := 0
	for range 6000 {
		if most >= quotaTestQuota {
			return
		}
		f.tick()
		most = max(most, len(f.running[0]))
	}
	if most < quotaTestQuota {
		t.Fatalf("one VM alone ran at most %d tasks with a quota of %d", most, quotaTestQuota)
	}
}

func TestQuotaSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []identifier.Member
		for i := range rapid.IntRange(1, 40).Draw(t, "members") {
			members = append(members, identifier.Member{VM: identifier.VMID(fmt.Sprint(i)), Incarnation: 1})
		}
		d := newDivision(members)
		quota := identifier.Slots(rapid.IntRange(1, 100).Draw(t, "quota"))
		var total identifier.Slots
		for _, m := range members {
			total += d.base(laneKey{team: "a"}, quota, m)
		}
		if total != quota {
			t.Fatalf("the shares add up to %d, the quota is %d", total, quota)
		}
	})
}

// TestQuotaReachesEachVM has one VM take a whole quota, and checks that another
// one gets its part when it needs it, though the first one stays busy.
func TestQuotaReachesEachVM(t *testing.T) {
	f := newQuotaFleet(1, 4)
	f.backlog[0] = true
	for range 1000 {
		f.tick()
	}
	if n := len(f.running[0]); n < quotaTestQuota/2 {
		t.Fatalf("the first VM runs only %d tasks with a quota of %d", n, quotaTestQuota)
	}
	f.backlog[1] = true
	for range 1000 {
		f.tick()
	}
	if n := f.limiters[1].sortedLanes()[0].share.allowed; n < quotaTestQuota/4 {
		t.Errorf("the second VM has a share of %d in a quota of %d", n, quotaTestQuota)
	}
}
