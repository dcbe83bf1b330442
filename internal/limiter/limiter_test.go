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

func makeTasks(n int, d time.Duration) []TaskEstimate {
	tasks := make([]TaskEstimate, n)
	for i := range tasks {
		tasks[i].ExpectedTime = d
	}
	return tasks
}

func TestAdmitRefusal(t *testing.T) {
	backlog := Request{Submission: "backlog", Team: "b", Tasks: makeTasks(90, time.Second)}
	other := Request{Submission: "other", Team: "c", Tasks: makeTasks(30, time.Second)}
	for _, tc := range []struct {
		name     string
		capacity identifier.Slots
		opts     Options
		earlier  []Request
		request  Request
		want     declarer.RefusalCause // empty: admitted
	}{
		{name: "admitted", capacity: 10, request: Request{Tasks: makeTasks(5, time.Second), Deadline: epoch.Add(2 * time.Second)}},
		{name: "no backend server", request: Request{Tasks: makeTasks(1, time.Second)}, want: declarer.NoCapacity},
		{name: "longest task", capacity: 10, request: Request{Tasks: makeTasks(1, 3*time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.DeadlineTooShort},
		{name: "whole job", capacity: 10, request: Request{Tasks: makeTasks(50, time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.DeadlineTooShort},
		{name: "quota", capacity: 10, request: Request{Quota: 1, Tasks: makeTasks(5, time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.OverQuota},
		{name: "own backlog", capacity: 10, earlier: []Request{backlog}, request: Request{Team: "b", Tasks: makeTasks(1, time.Second), Deadline: epoch.Add(2 * time.Second)}, want: declarer.NoCapacity},
		{name: "backlog of another team", capacity: 10, earlier: []Request{backlog}, request: Request{Team: "a", Tasks: makeTasks(1, time.Second), Deadline: epoch.Add(2 * time.Second)}},
		{name: "bound of the team's queue", capacity: 10, request: Request{QueueBound: 4, Tasks: makeTasks(5, time.Second)}, want: declarer.QueueFull},
		{name: "bound of all queues", capacity: 10, opts: Options{MaxTasks: 120}, earlier: []Request{backlog, other}, request: Request{Team: "a", Tasks: makeTasks(1, time.Second)}, want: declarer.QueueFull},
		{name: "above the share of a nearly full queue", capacity: 10, opts: Options{MaxTasks: 120}, earlier: []Request{backlog}, request: Request{Team: "b", Tasks: makeTasks(1, time.Second)}, want: declarer.QueueFull},
		{name: "within the share of a nearly full queue", capacity: 10, opts: Options{MaxTasks: 120}, earlier: []Request{backlog}, request: Request{Team: "a", Tasks: makeTasks(1, time.Second)}},
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

// TestAdmitCountsOnOwnShare checks that the expected wait of a job is computed
// with this VM's half of the quota, not with the whole quota.
func TestAdmitCountsOnOwnShare(t *testing.T) {
	self := identifier.Member{VM: "a", Incarnation: 1}
	l := New(Options{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
	l.SetCapacity(epoch, 100)
	l.Step(epoch, MembersChanged{Members: []identifier.Member{self, {VM: "b", Incarnation: 1}}})
	now := epoch.Add(shareChangeDelay)
	l.Admit(now, Request{Submission: "earlier", Quota: 10, Tasks: makeTasks(20, time.Second)})
	request := Request{Submission: "late", Quota: 10, Tasks: makeTasks(10, time.Second), Deadline: now.Add(5 * time.Second)}
	if got := cause(l.Admit(now, request)); got != declarer.OverQuota {
		t.Errorf("deadline in 5s: got %q, want %q", got, declarer.OverQuota)
	}
	request.Deadline = now.Add(7 * time.Second)
	if refusal := l.Admit(now, request); refusal != nil {
		t.Errorf("deadline in 7s: refused: %+v", refusal)
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
	l.Admit(epoch, Request{Submission: "a", Tasks: makeTasks(90, time.Second)})
	least, most := time.Hour, time.Duration(0)
	for range 100 {
		refusal := l.Admit(epoch, Request{Submission: "b", Tasks: makeTasks(1, time.Second)})
		least, most = min(least, refusal.RetryAfter), max(most, refusal.RetryAfter)
	}
	if least < 4*time.Second || most > 14*time.Second || most-least < 5*time.Second {
		t.Errorf("RetryAfter is from %v to %v, want most of 4.5s to 13.5s", least, most)
	}
}

// model calls a Limiter and tracks the state that each of its tasks should have.
type model struct {
	now       time.Time
	l         *Limiter
	states    map[identifier.TaskRef]taskState
	queueKeys map[identifier.SubmissionID]queueKey
	quotas    map[queueKey]identifier.Slots
	jobs      int
}

func newModel() *model {
	return &model{
		now:       epoch,
		l:         newTestLimiter(Options{MaxTasks: 300}),
		states:    make(map[identifier.TaskRef]taskState),
		queueKeys: make(map[identifier.SubmissionID]queueKey),
		quotas:    make(map[queueKey]identifier.Slots),
	}
}

func (m *model) admit(t *rapid.T) {
	m.jobs++
	team := rapid.IntRange(0, 3).Draw(t, "team")
	r := Request{
		Submission: identifier.SubmissionID(fmt.Sprint("job", m.jobs)),
		Team:       identifier.Team(fmt.Sprint("team", team)),
		Weight:     float64(1 + team),
		Priority:   rapid.IntRange(0, 3).Draw(t, "priority"),
		Quota:      identifier.Slots(5 * team),
		QueueBound: 100,
		Tasks:      makeTasks(rapid.IntRange(0, 40).Draw(t, "tasks"), 100*time.Millisecond),
	}
	if m.l.Admit(m.now, r) != nil {
		return
	}
	key := queueKey{team: r.Team, profile: r.Profile}
	m.quotas[key] = r.Quota
	m.queueKeys[r.Submission] = key
	for i := range r.Tasks {
		m.states[identifier.TaskRef{Submission: r.Submission, Index: identifier.TaskIndex(i)}] = taskQueued
	}
}

func (m *model) next(t *rapid.T, limit int) []identifier.TaskRef {
	refs := m.l.NextTasks(m.now, limit)
	for _, ref := range refs {
		if state, ok := m.states[ref]; !ok || state != taskQueued {
			t.Fatalf("%v was dispatched in state %v", ref, state)
		}
		m.states[ref] = taskDispatched
	}
	return refs
}

// drawDispatched returns a random dispatched task.
func (m *model) drawDispatched(t *rapid.T) (ref identifier.TaskRef, ok bool) {
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

func (m *model) requeueRefused(t *rapid.T) {
	ref, ok := m.drawDispatched(t)
	if !ok {
		return
	}
	m.states[ref] = taskEnded
	if m.l.RequeueRefused(m.now, ref) {
		m.states[ref] = taskQueued
	}
}

func (m *model) endTask(t *rapid.T) {
	ref, ok := m.drawDispatched(t)
	if !ok {
		return
	}
	m.l.EndTask(m.now, ref, time.Duration(rapid.IntRange(1, 1000).Draw(t, "millis"))*time.Millisecond)
	m.states[ref] = taskEnded
}

func (m *model) removeJob(t *rapid.T) {
	submission := identifier.SubmissionID(fmt.Sprint("job", rapid.IntRange(1, max(1, m.jobs)).Draw(t, "job")))
	for _, i := range m.l.RemoveJob(m.now, submission) {
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

func (m *model) check(t *rapid.T) {
	queued := 0
	running := make(map[queueKey]identifier.Slots)
	for ref, state := range m.states {
		switch state {
		case taskQueued:
			queued++
		case taskDispatched:
			running[m.queueKeys[ref.Submission]]++
		}
	}
	if queued != m.l.Queued() || queued > 300 {
		t.Fatalf("%d tasks are queued, the limiter counts %d, 300 are allowed", queued, m.l.Queued())
	}
	for key, n := range running {
		if quota := m.quotas[key]; quota > 0 && n > quota {
			t.Fatalf("%v runs %d tasks, its quota is %d", key, n, quota)
		}
	}
}

// drain dispatches and ends all tasks. It fails when a task is lost or starves,
// or when the limiter still counts something afterwards.
func (m *model) drain(t *rapid.T) {
	for range 1000 {
		m.now = m.now.Add(time.Second)
		for ref, state := range m.states {
			if state == taskDispatched {
				m.l.EndTask(m.now, ref, 100*time.Millisecond)
				m.states[ref] = taskEnded
			}
		}
		if len(m.next(t, 50)) == 0 {
			break
		}
	}
	for ref, state := range m.states {
		if state != taskEnded {
			t.Fatalf("%v has not ended: it was lost or is starved", ref)
		}
	}
	if l := m.l; l.queued != 0 || l.running != 0 || l.queuedWork != 0 || l.runningWork != 0 || len(l.jobs) != 0 || l.activeTeams != 0 || l.dispatchable != 0 {
		t.Fatalf("all tasks have ended, but the limiter still counts some: %+v", l)
	}
}

func TestLimiterKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"admit":  m.admit,
			"next":   func(t *rapid.T) { m.next(t, rapid.IntRange(1, 30).Draw(t, "most")) },
			"return": m.requeueRefused,
			"end":    m.endTask,
			"remove": m.removeJob,
			"wait":   func(*rapid.T) { m.now = m.now.Add(20 * time.Millisecond) },
		})
		m.drain(t)
	})
}

// TestTeamsShareByWeight checks that teams that always have queued tasks get
// slot time in proportion to their weights.
func TestTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter(Options{})
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "weights")
		millis := rapid.SliceOfN(rapid.IntRange(10, 1000), len(weights), len(weights)).Draw(t, "millis")
		got := make([]float64, len(weights))
		total, sum := 0.0, 0
		for i, w := range weights {
			team := identifier.Team(fmt.Sprint(i))
			l.Admit(epoch, Request{Submission: identifier.SubmissionID(team), Team: team, Weight: float64(w), Tasks: makeTasks(30_000, time.Duration(millis[i])*time.Millisecond)})
			sum += w
		}
		for range 4000 {
			ref := l.NextTasks(epoch, 1)[0]
			i, err := strconv.Atoi(string(ref.Submission))
			if err != nil {
				t.Fatal(err)
			}
			d := time.Duration(millis[i]) * time.Millisecond
			l.EndTask(epoch, ref, d)
			got[i] += d.Seconds()
			total += d.Seconds()
		}
		for i, w := range weights {
			want := total * float64(w) / float64(sum)
			if diff := got[i] - want; diff > 2 || diff < -2 {
				t.Fatalf("team %d of weight %d got %.1f s of %.1f s, want %.1f s", i, w, got[i], total, want)
			}
		}
	})
}
