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
	testQuota = 20
	testTick  = 10 * time.Millisecond
)

// quotaFleet simulates entry VMs, each with a Limiter, and a network between
// them that loses, repeats, delays and reorders messages.
type quotaFleet struct {
	now      time.Time
	rand     *rand.Rand
	lossRate float64
	members  []identifier.Member
	limiters []*Limiter
	running  [][]identifier.TaskRef
	backlog  []bool // by VM: it always has queued tasks
	inFlight []quotaMessage
	isolated []bool // by VM: no message reaches or leaves it
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
		f.addVM()
	}
	f.setMembers(f.members)
	return f
}

func (f *quotaFleet) addVM() {
	m := identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", len(f.members))), Incarnation: 1}
	l := New(Options{Self: m, Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 1))})
	l.SetCapacity(f.now, 1000)
	f.members = append(f.members, m)
	f.limiters = append(f.limiters, l)
	f.running = append(f.running, nil)
	f.backlog = append(f.backlog, false)
	f.isolated = append(f.isolated, false)
}

func (f *quotaFleet) setMembers(members []identifier.Member) {
	for i := range members {
		f.step(i, MembersChanged{Members: members})
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
		if f.rand.Float64() < f.lossRate || f.isolated[from] || f.isolated[to] {
			continue
		}
		delay := time.Duration(f.rand.Int64N(int64(100 * time.Millisecond)))
		f.inFlight = append(f.inFlight, quotaMessage{at: f.now.Add(delay), from: from, to: to, message: m})
	}
}

// tick advances the time by testTick, delivers the messages that are due, and
// ends and dispatches tasks.
func (f *quotaFleet) tick() {
	f.now = f.now.Add(testTick)
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
		f.step(m.to, PeerMessage{From: f.members[m.from], Message: m.message})
	}
	for i, l := range f.limiters {
		f.step(i, Tick{})
		f.endSomeTasks(i)
		if f.backlog[i] && l.Queued() < 50 {
			f.jobs++
			l.Admit(f.now, Request{Submission: identifier.SubmissionID(fmt.Sprint(f.jobs)), Team: "a", Quota: testQuota, Tasks: makeTasks(50, time.Second)})
		}
		f.running[i] = append(f.running[i], l.NextTasks(f.now, 100)...)
	}
}

func (f *quotaFleet) endSomeTasks(i int) {
	kept := f.running[i][:0]
	for _, ref := range f.running[i] {
		if f.rand.IntN(10) > 0 {
			kept = append(kept, ref)
			continue
		}
		f.limiters[i].EndTask(f.now, ref, time.Second)
	}
	f.running[i] = kept
}

func (f *quotaFleet) totalRunning() int {
	n := 0
	for _, refs := range f.running {
		n += len(refs)
	}
	return n
}

// TestQuotaHoldsOverAllVMs checks that several VMs together never run more of a
// team's tasks than its quota, also when messages are lost, repeated, delayed or
// reordered, when VMs are cut off, and while a VM joins. It also checks that a VM
// can use the whole quota when its peers have no tasks.
func TestQuotaHoldsOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newQuotaFleet(rapid.Uint64Range(1, 1000).Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "vms"))
		f.lossRate = float64(rapid.IntRange(0, 90).Draw(t, "loss")) / 100
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for range 10 {
					f.tick()
					if n := f.totalRunning(); n > testQuota {
						t.Fatalf("%d tasks run, the quota is %d", n, testQuota)
					}
				}
			},
			"backlog": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(t, "vm")
				f.backlog[i] = !f.backlog[i]
			},
			"cut": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(t, "vm")
				f.isolated[i] = !f.isolated[i]
			},
			"join": func(t *rapid.T) {
				if len(f.members) > 9 {
					return
				}
				f.addVM()
				f.setMembersStaggered()
			},
		})
		f.checkWholeQuota(t)
	})
}

// setMembersStaggered sends the list with a new VM to all VMs in random order,
// with at most one tick between two of them: all within half of
// shareChangeDelay.
func (f *quotaFleet) setMembersStaggered() {
	members := f.members[:len(f.members):len(f.members)]
	for _, i := range f.rand.Perm(len(members)) {
		f.step(i, MembersChanged{Members: members})
		if f.rand.IntN(2) == 0 && f.totalRunning() <= testQuota {
			f.tick()
		}
	}
}

// checkWholeQuota fails when a VM that alone has queued tasks doesn't get to use
// the whole quota over a network without faults.
func (f *quotaFleet) checkWholeQuota(t *rapid.T) {
	f.lossRate = 0
	for i := range f.members {
		f.isolated[i] = false
		f.backlog[i] = i == 0
		f.limiters[i].Step(f.now, Tick{})
	}
	most := 0
	for range 6000 {
		if most >= testQuota {
			return
		}
		f.tick()
		most = max(most, len(f.running[0]))
	}
	if most < testQuota {
		t.Fatalf("the only VM with queued tasks ran at most %d tasks, the quota is %d", most, testQuota)
	}
}

func TestQuotaSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []identifier.Member
		for i := range rapid.IntRange(1, 40).Draw(t, "members") {
			members = append(members, identifier.Member{VM: identifier.VMID(fmt.Sprint(i)), Incarnation: 1})
		}
		d := newMemberList(members)
		quota := identifier.Slots(rapid.IntRange(1, 100).Draw(t, "quota"))
		var total identifier.Slots
		for _, m := range members {
			total += d.baseShare(queueKey{team: "a"}, quota, m)
		}
		if total != quota {
			t.Fatalf("the base shares add up to %d, the quota is %d", total, quota)
		}
	})
}

// TestQuotaReachesEachVM checks that a VM gets its part of a quota when it needs
// it, even if another VM has taken the whole quota and stays busy.
func TestQuotaReachesEachVM(t *testing.T) {
	f := newQuotaFleet(1, 4)
	f.backlog[0] = true
	for range 1000 {
		f.tick()
	}
	if n := len(f.running[0]); n < testQuota/2 {
		t.Fatalf("the first VM runs only %d tasks, the quota is %d", n, testQuota)
	}
	f.backlog[1] = true
	for range 1000 {
		f.tick()
	}
	if n := f.limiters[1].sortedQueues()[0].share.allowed; n < testQuota/4 {
		t.Errorf("the second VM has a share of %d, the quota is %d", n, testQuota)
	}
}
