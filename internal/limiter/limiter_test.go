package limiter

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestLimiter(opts Options) *Limiter {
	opts.Rand = rand.New(rand.NewPCG(1, 1))
	l := New(opts)
	l.SetCapacity(epoch, 400)
	return l
}

func needs(n int, d time.Duration) []TaskNeed {
	tasks := make([]TaskNeed, n)
	for i := range tasks {
		tasks[i].Expected = d
	}
	return tasks
}

func TestAdmitRefusal(t *testing.T) {
	backlog := Request{Submission: "backlog", Team: "b", Tasks: needs(90, time.Second)}
	other := Request{Submission: "other", Team: "c", Tasks: needs(30, time.Second)}
	for _, tc := range []struct {
		name     string
		capacity identifier.Slots
		opts     Options
		earlier  []Request
		request  Request
		want     declarer.RefusalCause // empty: admitted
	}{
		{name: "admitted", capacity: 10, request: Request{Tasks: needs(5, time.Second), Deadline: epoch.Add(2 * time.Second)}},
		{name: "no backend server", request: Request{Tasks: needs(1, time.Second)}, want: declarer.NoCapacity},
		{name: "longest task", capacity: 10, request: Request{Tasks: needs(1, 3*time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.DeadlineTooShort},
		{name: "whole job", capacity: 10, request: Request{Tasks: needs(50, time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.DeadlineTooShort},
		{name: "quota", capacity: 10, request: Request{Quota: 1, Tasks: needs(5, time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.OverQuota},
		{name: "own backlog", capacity: 10, earlier: []Request{backlog}, request: Request{Team: "b", Tasks: needs(1, time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.NoCapacity},
		{name: "backlog of another team", capacity: 10, earlier: []Request{backlog}, request: Request{Team: "a", Tasks: needs(1, time.Second), Deadline: epoch.Add(2 * time.Second)}},
		{name: "bound of the team's queue", capacity: 10, request: Request{QueueBound: 4, Tasks: needs(5, time.Second)}, want: declarer.QueueFull},
		{name: "bound of all queues", capacity: 10, opts: Options{MaxTasks: 120}, earlier: []Request{backlog, other}, request: Request{Team: "a", Tasks: needs(1, time.Second)}, want: declarer.QueueFull},
		{name: "above the share of a nearly full queue", capacity: 10, opts: Options{MaxTasks: 120}, earlier: []Request{backlog}, request: Request{Team: "b", Tasks: needs(1, time.Second)}, want: declarer.QueueFull},
		{name: "within the share of a nearly full queue", capacity: 10, opts: Options{MaxTasks: 120}, earlier: []Request{backlog}, request: Request{Team: "a", Tasks: needs(1, time.Second)}},
		{name: "same submission", capacity: 10, earlier: []Request{backlog}, request: backlog, want: declarer.BadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLimiter(tc.opts)
			l.SetCapacity(epoch, tc.capacity)
			for _, r := range tc.earlier {
				if refusal := l.Admit(epoch, r); refusal != nil {
					t.Fatalf("earlier job refused: %+v", refusal)
				}
			}
			refusal := l.Admit(epoch, tc.request)
			if got := cause(refusal); got != tc.want {
				t.Errorf("got %q (%+v), want %q", got, refusal, tc.want)
			}
		})
	}
}

// TestAdmitCountsOnOwnShare has a team whose queue waits for this VM's half of
// the quota, which the other VM's half does not shorten.
func TestAdmitCountsOnOwnShare(t *testing.T) {
	self := identifier.Member{VM: "a", Incarnation: 1}
	l := New(Options{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
	l.SetCapacity(epoch, 100)
	l.Step(epoch, MembersSet{Members: []identifier.Member{self, {VM: "b", Incarnation: 1}}})
	now := epoch.Add(quotaSettleTime)
	l.Admit(now, Request{Submission: "earlier", Quota: 10, Tasks: needs(20, time.Second)})
	request := Request{Submission: "late", Quota: 10, Tasks: needs(10, time.Second), Deadline: now.Add(5 * time.Second)}
	if got := cause(l.Admit(now, request)); got != declarer.OverQuota {
		t.Errorf("got %q, want %q", got, declarer.OverQuota)
	}
	request.Deadline = now.Add(7 * time.Second)
	if refusal := l.Admit(now, request); refusal != nil {
		t.Errorf("refused: %+v", refusal)
	}
}

func cause(r *Refusal) declarer.RefusalCause {
	if r == nil {
		return ""
	}
	return r.Cause
}

func TestRetryAfterSpreads(t *testing.T) {
	l := newTestLimiter(Options{MaxTasks: 120})
	l.SetCapacity(epoch, 10)
	l.Admit(epoch, Request{Submission: "a", Tasks: needs(90, time.Second)})
	least, most := time.Hour, time.Duration(0)
	for range 100 {
		refusal := l.Admit(epoch, Request{Submission: "b", Tasks: needs(1, time.Second)})
		least, most = min(least, refusal.RetryAfter), max(most, refusal.RetryAfter)
	}
	if least < 4*time.Second || most > 14*time.Second || most-least < 5*time.Second {
		t.Errorf("returns spread over %v to %v, want most of 4.5s to 13.5s", least, most)
	}
}

// machine drives a Limiter and keeps a model of it.
type machine struct {
	now    time.Time
	l      *Limiter
	states map[identifier.TaskRef]taskState
	lanes  map[identifier.SubmissionID]laneKey
	quotas map[laneKey]identifier.Slots
	jobs   int
}

func newMachine() *machine {
	return &machine{
		now:    epoch,
		l:      newTestLimiter(Options{MaxTasks: 300}),
		states: make(map[identifier.TaskRef]taskState),
		lanes:  make(map[identifier.SubmissionID]laneKey),
		quotas: make(map[laneKey]identifier.Slots),
	}
}

func (m *machine) admit(t *rapid.T) {
	m.jobs++
	team := rapid.IntRange(0, 3).Draw(t, "team")
	r := Request{
		Submission: identifier.SubmissionID(fmt.Sprint("job", m.jobs)),
		Team:       identifier.Team(fmt.Sprint("team", team)),
		Weight:     float64(1 + team),
		Priority:   rapid.IntRange(0, 3).Draw(t, "priority"),
		Quota:      identifier.Slots(5 * team),
		QueueBound: 100,
		Tasks:      needs(rapid.IntRange(0, 40).Draw(t, "tasks"), 100*time.Millisecond),
	}
	if m.l.Admit(m.now, r) != nil {
		return
	}
	key := laneKey{team: r.Team, profile: r.Profile}
	m.quotas[key] = r.Quota
	m.lanes[r.Submission] = key
	for i := range r.Tasks {
		m.states[identifier.TaskRef{Submission: r.Submission, Index: identifier.TaskIndex(i)}] = taskQueued
	}
}

func (m *machine) next(t *rapid.T, most int) []identifier.TaskRef {
	refs := m.l.Next(m.now, most)
	for _, ref := range refs {
		if state, ok := m.states[ref]; !ok || state != taskQueued {
			t.Fatalf("%v was dispatched in state %v", ref, state)
		}
		m.states[ref] = taskDispatched
	}
	return refs
}

// dispatched draws a dispatched task.
func (m *machine) dispatched(t *rapid.T) (ref identifier.TaskRef, ok bool) {
	var refs []identifier.TaskRef
	for n := 1; n <= m.jobs; n++ {
		for i := range 40 {
			ref := identifier.TaskRef{Submission: identifier.SubmissionID(fmt.Sprint("job", n)), Index: identifier.TaskIndex(i)}
			if m.states[ref] == taskDispatched {
				refs = append(refs, ref)
			}
		}
	}
	if len(refs) == 0 {
		return identifier.TaskRef{}, false
	}
	return rapid.SampledFrom(refs).Draw(t, "task"), true
}

func (m *machine) giveBack(t *rapid.T) {
	ref, ok := m.dispatched(t)
	if !ok {
		return
	}
	m.states[ref] = taskEnded
	if m.l.Return(m.now, ref) {
		m.states[ref] = taskQueued
	}
}

func (m *machine) end(t *rapid.T) {
	ref, ok := m.dispatched(t)
	if !ok {
		return
	}
	m.l.Ended(m.now, ref, time.Duration(rapid.IntRange(1, 1000).Draw(t, "millis"))*time.Millisecond)
	m.states[ref] = taskEnded
}

func (m *machine) remove(t *rapid.T) {
	submission := identifier.SubmissionID(fmt.Sprint("job", rapid.IntRange(1, max(1, m.jobs)).Draw(t, "job")))
	for _, i := range m.l.Remove(m.now, submission) {
		ref := identifier.TaskRef{Submission: submission, Index: i}
		if m.states[ref] != taskQueued {
			t.Fatalf("%v was dropped in state %v", ref, m.states[ref])
		}
		m.states[ref] = taskEnded
	}
	for ref, state := range m.states {
		if ref.Submission == submission && state == taskQueued {
			t.Fatalf("%v was not dropped", ref)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	queued := 0
	running := make(map[laneKey]identifier.Slots)
	for ref, state := range m.states {
		switch state {
		case taskQueued:
			queued++
		case taskDispatched:
			running[m.lanes[ref.Submission]]++
		}
	}
	if queued != m.l.Queued() || queued > 300 {
		t.Fatalf("%d tasks are queued, %d counted, 300 allowed", queued, m.l.Queued())
	}
	for key, n := range running {
		if quota := m.quotas[key]; quota > 0 && n > quota {
			t.Fatalf("%v runs %d tasks with a quota of %d", key, n, quota)
		}
	}
}

// drain ends everything, which fails when a task was lost or is starved.
func (m *machine) drain(t *rapid.T) {
	for range 1000 {
		m.now = m.now.Add(time.Second)
		for ref, state := range m.states {
			if state == taskDispatched {
				m.l.Ended(m.now, ref, 100*time.Millisecond)
				m.states[ref] = taskEnded
			}
		}
		if len(m.next(t, 50)) == 0 {
			break
		}
	}
	for ref, state := range m.states {
		if state != taskEnded {
			t.Fatalf("%v was never dispatched again", ref)
		}
	}
	if l := m.l; l.queued != 0 || l.running != 0 || l.queuedWork != 0 || l.runWork != 0 || len(l.jobs) != 0 || l.active != 0 || l.dispatchable != 0 {
		t.Fatalf("the empty limiter still counts %+v", l)
	}
}

func TestLimiterKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"admit":  m.admit,
			"next":   func(t *rapid.T) { m.next(t, rapid.IntRange(1, 30).Draw(t, "most")) },
			"return": m.giveBack,
			"end":    m.end,
			"remove": m.remove,
			"wait":   func(*rapid.T) { m.now = m.now.Add(20 * time.Millisecond) },
		})
		m.drain(t)
	})
}

// TestTeamsShareByWeight keeps every team backlogged and compares the slot time
// they get with their weights.
func TestTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter(Options{})
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "weights")
		millis := rapid.SliceOfN(rapid.IntRange(10, 1000), len(weights), len(weights)).Draw(t, "millis")
		got := make([]float64, len(weights))
		total, sum := 0.0, 0
		for i, w := range weights {
			team := identifier.Team(fmt.Sprint(i))
			l.Admit(epoch, Request{Submission: identifier.SubmissionID(team), Team: team, Weight: float64(w), Tasks: needs(30_000, time.Duration(millis[i])*time.Millisecond)})
			sum += w
		}
		for range 4000 {
			ref := l.Next(epoch, 1)[0]
			i, err := strconv.Atoi(string(ref.Submission))
			if err != nil {
				t.Fatal(err)
			}
			d := time.Duration(millis[i]) * time.Millisecond
			l.Ended(epoch, ref, d)
			got[i] += d.Seconds()
			total += d.Seconds()
		}
		for i, w := range weights {
			want := total * float64(w) / float64(sum)
			if diff := got[i] - want; diff > 2 || diff < -2 {
				t.Fatalf("team %d of weight %d got %.1f s of %.1f, want %.1f", i, w, got[i], total, want)
			}
		}
	})
}
