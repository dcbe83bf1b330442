package repeater

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/admitter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// submit takes or refuses a job. A job that is open here already is joined.
func (m *Machine) submit(e JobSubmitted) {
	if j := m.jobs[e.Job.ID]; j != nil {
		j.requests = append(j.requests, e.Request)
		m.byRequest[e.Request] = j.ID
		m.counters.Joined++
		m.record("jobJoined", "job", j.ID, "requests", len(j.requests), "age", m.now.Sub(j.arrived))
		return
	}
	if r, refused := m.refusal(e.Job); refused {
		m.refuse(e, r)
		return
	}
	j := m.newJob(e)
	plan, view := m.plan(j, indexes(len(j.tasks)))
	fleet := view.sumUp(j, plan)
	decision := admitter.Decide(fleet, admitter.Job{Estimate: j.Estimate, Slack: j.slack()})
	if !decision.Admit {
		m.refuse(e, Refused{Overloaded: true, RetryAfter: decision.RetryAfter, Reason: decision.Reason},
			"wait", decision.Wait, "slack", j.slack(), "capacity", fleet.Capacity, "ahead", fleet.Ahead,
			"unplaced", fleet.Unplaced, "oldestReport", m.oldestReport())
		return
	}
	m.jobs[j.ID] = j
	m.byRequest[e.Request] = j.ID
	m.counters.Admitted++
	m.record("jobAdmitted", "job", j.ID, "route", j.Route.Name, "version", j.Version, "tasks", j.Tasks, "cores", j.Cores,
		"estimate", j.Estimate, "budget", j.Budget, "wait", decision.Wait, "slack", j.slack(), "capacity", fleet.Capacity, "ahead", fleet.Ahead,
		"oldestReport", m.oldestReport())
	for i, t := range plan {
		m.send(j, i, t)
	}
}

// refusal returns why a job can't be taken whatever the load.
func (m *Machine) refusal(j Job) (Refused, bool) {
	switch {
	case m.now.Before(m.refuseUntil) && !m.opts.defects.noQuarantine:
		return Refused{RetryAfter: wakeQuarantine, Reason: "this VM was paused, and the request may be old"}, true
	case len(m.jobs) >= maxOpenJobs:
		return Refused{Overloaded: true, RetryAfter: time.Second, Reason: "too many open jobs"}, true
	case j.Tasks < 1 || j.Tasks > maxTasksPerJob:
		return Refused{RetryAfter: time.Minute, Reason: "the number of tasks is out of bounds"}, true
	}
	return Refused{}, false
}

// refuse answers that a job is not taken. The fields are what decided it.
func (m *Machine) refuse(e JobSubmitted, r Refused, fields ...any) {
	m.counters.Refused++
	m.record("jobRefused", append([]any{
		"job", e.Job.ID, "route", e.Job.Route.Name, "version", e.Job.Version, "tasks", e.Job.Tasks,
		"estimate", e.Job.Estimate, "reason", r.Reason, "retryAfter", r.RetryAfter,
	}, fields...)...)
	m.emit(Reply{Request: e.Request, Outcome: r})
}

func (m *Machine) newJob(e JobSubmitted) *openJob {
	j := &openJob{
		Job:       e.Job,
		requests:  []RequestID{e.Request},
		arrived:   m.now,
		objective: m.now.Add(e.Job.objective()),
		deadline:  m.now.Add(e.Job.Budget),
		tasks:     make([]task, e.Job.Tasks),
		open:      e.Job.Tasks,
		run:       m.newJobRun(),
	}
	for i := range j.tasks {
		j.tasks[i].number = 1
	}
	return j
}

// newJobRun returns a number that no other VM or process uses.
func (m *Machine) newJobRun() identifier.JobRun {
	m.lastJobRun++
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %d", m.opts.Self, m.lastJobRun) // a hash in memory doesn't fail
	return identifier.JobRun(max(h.Sum64(), 1))
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// send hands a task to the owner that was chosen for it.
func (m *Machine) send(j *openJob, index int, to target) {
	t := &j.tasks[index]
	if !to.found {
		t.state = taskWaiting
		t.waitUntil = m.now.Add(retryUnreachable)
		return
	}
	t.state, t.owner, t.intended, t.backend, t.sentAt = taskSent, to.owner, to.backend, "", m.now
	m.share(to.owner)
	if p := m.peers[to.owner.VM]; p != nil && p.member == to.owner {
		p.noteSent(j.Job, to)
	}
	msg := peermessenger.RunTask{
		Run: j.ref(index), Pool: j.Route.Pool, Spec: j.Spec, Millicores: j.Cores, Memory: j.Memory, Estimate: j.Estimate,
		Priority: j.Route.Priority, Objective: j.objective.Sub(m.now), Avoid: t.avoid, Moves: t.moves,
	}
	m.tell(to.owner, msg)
}

// tell sends a message to a peer, or handles it here where this VM is meant.
func (m *Machine) tell(to identifier.Member, msg peermessenger.Message) {
	if to != m.opts.Self {
		m.emit(SendMessage{To: to, Message: msg})
		return
	}
	m.handle(to, msg)
}

// handle reacts to a message on tasks, of a peer or of this VM.
func (m *Machine) handle(from identifier.Member, msg peermessenger.Message) {
	switch msg := msg.(type) {
	case peermessenger.RunTask:
		m.acceptTask(from, msg)
	case peermessenger.TaskPlaced:
		m.taskPlaced(from, msg)
	case peermessenger.TaskEnded:
		m.taskEnded(from, msg)
	case peermessenger.CancelRuns:
		m.cancelRuns(from, msg.Runs)
	case peermessenger.ClaimRuns:
		m.claimed(from, msg)
	}
}

// settle takes the demand of a task that is sent no longer off its owner's view.
func (m *Machine) settle(j *openJob, t *task) {
	if t.state != taskSent {
		return
	}
	if p := m.peers[t.owner.VM]; p != nil && p.member == t.owner {
		if p.pending[t.intended] -= j.Cores; p.pending[t.intended] <= 0 {
			delete(p.pending, t.intended)
		}
	}
}

// open returns the task of a run that its home waits for, or nil.
func (m *Machine) openTask(ref identifier.RunRef) (*openJob, *task) {
	j := m.jobs[ref.Task.Submission]
	if j == nil || j.run != ref.JobRun || int(ref.Task.Index) >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[ref.Task.Index]
	if t.number != ref.Number || t.state == taskEnded || t.state == taskWaiting {
		return nil, nil
	}
	return j, t
}

func (m *Machine) taskPlaced(from identifier.Member, msg peermessenger.TaskPlaced) {
	j, t := m.openTask(msg.Run)
	if j == nil {
		m.tell(from, peermessenger.CancelRuns{Runs: []identifier.RunRef{msg.Run}})
		return
	}
	m.settle(j, t)
	t.state, t.owner, t.backend = taskPlaced, from, msg.Backend
	if known := m.owners[msg.Backend]; known.token > msg.Token && known.owner != from {
		m.claimFrom(known.owner, msg.Backend) // it has a later owner already
		return
	}
	m.noteOwner(msg.Backend, from, msg.Token)
}

func (m *Machine) taskEnded(from identifier.Member, msg peermessenger.TaskEnded) {
	j, t := m.openTask(msg.Run)
	if j == nil {
		return // cancelled, or told again
	}
	if from != t.owner && msg.Ending != peermessenger.RunDone {
		return // a later owner has taken the run over
	}
	m.settle(j, t)
	if p := m.peers[from.VM]; p != nil && p.view != nil && msg.Backend != "" {
		if v, ok := p.view[msg.Backend]; ok && t.state == taskPlaced {
			v.free += j.Cores
			v.freeMem += j.Memory
			p.view[msg.Backend] = v
		}
	}
	index := int(msg.Run.Task.Index)
	switch msg.Ending {
	case peermessenger.RunDone:
		t.state = taskEnded
		j.open--
		if j.open == 0 {
			m.finish(j, Completed{})
		}
	case peermessenger.RunFailed:
		t.failures++
		t.avoid = appendNew(t.avoid, msg.Backend)
		m.record("runFailed", "job", j.ID, "task", index, "run", t.number, "backend", msg.Backend, "failures", t.failures, "attempts", j.Route.MaxAttempts)
		if t.failures >= max(j.Route.MaxAttempts, 1) {
			t.state = taskEnded
			m.finish(j, Failed{Cause: "a task has failed as often as its route allows"})
			return
		}
		m.restart(j, index, 1)
	case peermessenger.RunRejected:
		m.finish(j, Failed{Cause: "a backend server calls a task invalid: " + msg.Cause})
	case peermessenger.RunStopped, peermessenger.RunNotStarted:
		m.record("runAgain", "job", j.ID, "task", index, "run", t.number, "backend", msg.Backend, "ending", msg.Ending, "cause", msg.Cause)
		if msg.Ending == peermessenger.RunStopped {
			t.avoid = appendNew(t.avoid, msg.Backend)
			t.moves++
		}
		step := identifier.RunNumber(1)
		if msg.Cause == causeSuperseded {
			step = supersededStep
		}
		m.restart(j, index, step)
	}
}

func appendNew(list []identifier.BackendID, id identifier.BackendID) []identifier.BackendID {
	if id == "" || slices.Contains(list, id) {
		return list
	}
	return append(slices.Clone(list), id)
}

// supersededStep is added to a run's number when a server has ended a higher
// one, of an earlier submission of the same job.
const supersededStep = 16

// restart runs a task again, whose latest run goes on nowhere.
func (m *Machine) restart(j *openJob, index int, step identifier.RunNumber) {
	t := &j.tasks[index]
	t.number += step
	t.state = taskWaiting
	t.owner, t.backend = identifier.Member{}, ""
	if t.number > maxRuns {
		m.finish(j, Lost{Cause: "a task was started too often"})
		return
	}
	m.place(j, index)
}

// place sends one task to the owner that is best now.
func (m *Machine) place(j *openJob, index int) {
	plan, _ := m.plan(j, []int{index})
	m.send(j, index, plan[0])
}

// maxRuns bounds the runs of one task, whatever ends them.
const maxRuns = 100

// finish answers a job's callers and stops what still runs of it.
func (m *Machine) finish(j *openJob, o Outcome) {
	if m.jobs[j.ID] != j {
		return
	}
	delete(m.jobs, j.ID)
	m.cancelTasks(j)
	switch o.(type) {
	case Completed:
		m.counters.Completed++
	case Failed:
		m.counters.Failed++
	case Lost:
		m.counters.Lost++
	case TimedOut:
		m.counters.TimedOut++
	}
	m.recordOutcome(j, o)
	for _, r := range j.requests {
		delete(m.byRequest, r)
		m.emit(Reply{Request: r, Outcome: o})
	}
}

func (m *Machine) recordOutcome(j *openJob, o Outcome) {
	cause := ""
	switch o := o.(type) {
	case Failed:
		cause = o.Cause
	case Lost:
		cause = o.Cause
	}
	fields := []any{"job", j.ID, "outcome", OutcomeName(o), "took", m.now.Sub(j.arrived), "objective", j.objective.Sub(j.arrived), "late", m.now.After(j.objective)}
	if cause != "" {
		fields = append(fields, "cause", cause)
	}
	if _, ok := o.(Completed); !ok {
		fields = append(fields, "tasks", j.describeTasks())
	}
	m.record("jobEnded", fields...)
}

// cancelTasks tells the owners of a job's tasks that nobody waits any more.
func (m *Machine) cancelTasks(j *openJob) {
	byOwner := make(map[identifier.Member][]identifier.RunRef)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case taskSent, taskPlaced, taskOrphaned:
			m.settle(j, t)
			byOwner[t.owner] = append(byOwner[t.owner], j.ref(i))
			t.state = taskEnded
		case taskWaiting, taskEnded:
		}
	}
	for _, owner := range slices.SortedFunc(maps.Keys(byOwner), compareMembers) {
		m.tell(owner, peermessenger.CancelRuns{Runs: byOwner[owner]})
	}
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// abandon ends a job when the last of its callers has left.
func (m *Machine) abandon(r RequestID) {
	id, ok := m.byRequest[r]
	if !ok {
		return
	}
	delete(m.byRequest, r)
	j := m.jobs[id]
	j.requests = slices.DeleteFunc(j.requests, func(other RequestID) bool { return other == r })
	if len(j.requests) > 0 {
		return
	}
	delete(m.jobs, id)
	m.counters.Abandoned++
	m.record("jobAbandoned", "job", id, "age", m.now.Sub(j.arrived), "tasks", j.describeTasks())
	m.cancelTasks(j)
}

// orphanTasks marks the tasks whose owner can't be relied on any more; backend
// limits that to one of its servers. The owner may have heard this VM for a report's
// interval after it was last heard itself, and their runs may go on for orphanBound
// after that.
func (m *Machine) orphanTasks(owner identifier.Member, backend identifier.BackendID, heard time.Time) {
	var cancelled []identifier.RunRef
	for _, j := range m.sortedJobs() {
		hopeless := false
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.owner != owner || (t.state != taskSent && t.state != taskPlaced) {
				continue
			}
			if backend != "" && (t.backend != backend || t.state != taskPlaced) {
				continue
			}
			m.settle(j, t)
			t.state = taskOrphaned
			t.restartAt = later(heard, t.sentAt).Add(reportInterval + orphanBound)
			if m.opts.defects.orphansAtOnce {
				t.restartAt = m.now
			}
			if backend == "" {
				cancelled = append(cancelled, j.ref(i))
			}
			m.record("taskOrphaned", "job", j.ID, "task", i, "run", t.number, "owner", owner, "backend", t.backend, "until", t.restartAt.Sub(m.now))
			hopeless = hopeless || t.restartAt.Add(j.Estimate).After(j.deadline)
		}
		if hopeless && !m.mayBeClaimed(j) {
			m.finish(j, Lost{Cause: "the owner of its tasks is lost"})
		}
	}
	if len(cancelled) > 0 && owner != m.opts.Self {
		m.emit(SendMessage{To: owner, Message: peermessenger.CancelRuns{Runs: cancelled}})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayBeClaimed reports whether all orphaned tasks of a job were placed on known
// servers, where a new owner may still keep their runs.
func (m *Machine) mayBeClaimed(j *openJob) bool {
	for i := range j.tasks {
		if j.tasks[i].state == taskOrphaned && j.tasks[i].backend == "" {
			return false
		}
	}
	return true
}

// claimFrom asks an owner to keep the runs that this home waits for: those on
// one server, or all that it was asked for when backend is empty.
func (m *Machine) claimFrom(owner identifier.Member, backend identifier.BackendID) {
	msg := peermessenger.ClaimRuns{Backend: backend}
	for _, j := range m.sortedJobs() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskWaiting || t.state == taskEnded {
				continue
			}
			if backend == "" && (t.owner != owner || t.state == taskOrphaned) {
				continue // an orphan is started again; its owner drops what isn't claimed
			}
			if backend != "" && (t.backend != backend || t.state == taskSent) {
				continue
			}
			if backend != "" {
				t.owner, t.state = owner, taskPlaced
			}
			msg.Runs = append(msg.Runs, peermessenger.ClaimedRun{
				Run: j.ref(i), Backend: t.backend, Millicores: j.Cores, Memory: j.Memory, Estimate: j.Estimate, Priority: j.Route.Priority,
			})
		}
	}
	if len(msg.Runs) > 0 || backend == "" {
		m.record("runsClaimed", "owner", owner, "backend", backend, "runs", len(msg.Runs))
		m.tell(owner, msg)
	}
}

// tickJobs ends jobs at their deadline and runs tasks that waited.
func (m *Machine) tickJobs() {
	for _, j := range m.sortedJobs() {
		if !m.now.Before(j.deadline) {
			m.finish(j, TimedOut{})
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			switch {
			case m.jobs[j.ID] != j:
			case t.state == taskOrphaned && !m.now.Before(t.restartAt):
				m.restart(j, i, 1)
			case t.state == taskWaiting && !m.now.Before(t.waitUntil):
				m.place(j, i)
			}
		}
	}
}

func (m *Machine) sortedJobs() []*openJob {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *openJob) int { return cmp.Compare(a.ID, b.ID) })
}

// describeTasks tells for the log how far the tasks of a job are.
func (j *openJob) describeTasks() []string {
	list := make([]string, 0, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		list = append(list, t.describe())
		if len(list) == maxDescribed {
			break
		}
	}
	return list
}

// maxDescribed bounds the tasks that one log line tells of.
const maxDescribed = 32

func (t *task) describe() string {
	names := [...]string{"waiting", "sent", "placed", "orphaned", "ended"}
	s := names[t.state]
	if t.state != taskWaiting && t.state != taskEnded {
		s += "@" + string(t.owner.VM) + "/" + string(t.backend)
	}
	return s
}
