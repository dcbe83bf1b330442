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

// submitJob admits or refuses a job. A request for a job that is already open
// here joins it.
func (m *Machine) submitJob(e JobSubmitted) {
	if j := m.jobs[e.Job.ID]; j != nil {
		j.requests = append(j.requests, e.Request)
		m.jobOfRequest[e.Request] = j.ID
		m.counters.Joined++
		m.logDecision("jobJoined", "job", j.ID, "requests", len(j.requests), "age", m.now.Sub(j.arrived))
		return
	}
	if !m.updateRoute(&e.Job) {
		m.refuseJob(e, Refused{RetryAfter: time.Second, Reason: routeDropped})
		return
	}
	if r, refused := m.refusal(e.Job); refused {
		m.refuseJob(e, r)
		return
	}
	if index, found := m.findGivenUpTask(e.Job); found {
		m.failGivenUpJob(e, index)
		return
	}
	j := m.newJob(e)
	targets, view := m.planTargets(j, allIndexes(len(j.tasks)))
	fleet := view.admissionFleet(j, targets)
	decision := admitter.Decide(fleet, admitter.Job{Estimate: j.Estimate, Slack: j.slack()})
	if !decision.Admit {
		m.refuseJob(e, Refused{Overloaded: true, RetryAfter: decision.RetryAfter, Reason: decision.Reason},
			"wait", decision.Wait, "slack", j.slack(), "capacity", fleet.Capacity, "ahead", fleet.QueuedAhead,
			"unplaced", fleet.Unplaced, "oldestReport", m.longestSilence())
		return
	}
	m.jobs[j.ID] = j
	m.jobOfRequest[e.Request] = j.ID
	m.counters.Admitted++
	m.logDecision("jobAdmitted", "job", j.ID, "route", j.Route.Name, "version", j.Version, "tasks", j.Tasks, "cores", j.Cores,
		"estimate", j.Estimate, "budget", j.Budget, "wait", decision.Wait, "slack", j.slack(), "capacity", fleet.Capacity, "ahead", fleet.QueuedAhead,
		"oldestReport", m.longestSilence())
	for i, t := range targets {
		m.sendTask(j, i, t)
	}
}

// refusal returns why a job is refused regardless of the load, and whether it
// is.
func (m *Machine) refusal(j Job) (Refused, bool) {
	if r, refused := m.refusalAfterPause(); refused && !m.opts.defects.acceptStaleRequests {
		return r, true
	}
	switch {
	case m.evacuatedPools[j.Route.Pool]:
		return Refused{Overloaded: true, RetryAfter: evacuatedRetryAfter, Reason: "the failure domains of all its servers are evacuated"}, true
	case len(m.jobs) >= maxOpenJobs:
		return Refused{Overloaded: true, RetryAfter: time.Second, Reason: "too many open jobs"}, true
	case j.Tasks < 1 || j.Tasks > maxTasksPerJob:
		return Refused{RetryAfter: time.Minute, Reason: "the number of tasks is out of bounds"}, true
	}
	return Refused{}, false
}

// refuseJob answers that a job is not admitted. The fields are the inputs of
// the decision, for the log.
func (m *Machine) refuseJob(e JobSubmitted, r Refused, fields ...any) {
	m.counters.Refused++
	m.logDecision("jobRefused", append([]any{
		"job", e.Job.ID, "route", e.Job.Route.Name, "version", e.Job.Version, "tasks", e.Job.Tasks,
		"estimate", e.Job.Estimate, "reason", r.Reason, "retryAfter", r.RetryAfter,
	}, fields...)...)
	m.emit(Reply{Request: e.Request, Outcome: r})
}

func (m *Machine) newJob(e JobSubmitted) *openJob {
	j := &openJob{
		Job:         e.Job,
		requests:    []RequestID{e.Request},
		arrived:     m.now,
		objectiveAt: m.now.Add(e.Job.objective()),
		deadline:    m.now.Add(e.Job.Budget),
		tasks:       make([]task, e.Job.Tasks),
		openTasks:   e.Job.Tasks,
		jobRun:      m.newJobRun(),
	}
	if j.objective() <= 0 {
		j.objectiveAt = j.deadline // its route states none
	}
	for i := range j.tasks {
		j.tasks[i].runNumber = 1
	}
	return j
}

// newJobRun returns a number that no other VM or process uses.
func (m *Machine) newJobRun() identifier.JobRun {
	m.lastJobRun++
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %d", m.opts.Self, m.lastJobRun) // writing to a hash doesn't fail
	return identifier.JobRun(max(h.Sum64(), 1))
}

func allIndexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// sendTask sends a task to the owner that was chosen for it.
func (m *Machine) sendTask(j *openJob, index int, to target) {
	t := &j.tasks[index]
	if !to.found {
		t.state = taskWaiting
		t.waitUntil = m.now.Add(retryDelay)
		return
	}
	t.state, t.owner, t.intendedBackend, t.backend, t.sentAt = taskSent, to.owner, to.backend, "", m.now
	if p := m.peers[to.owner.VM]; p != nil {
		t.sharedBefore = p.lastSharedAt
	}
	m.markSharing(to.owner)
	if p := m.peers[to.owner.VM]; p != nil && p.member == to.owner {
		p.recordSent(j.Job, to)
	}
	msg := peermessenger.RunTask{
		Run: j.ref(index), Pool: j.Route.Pool, Spec: j.Spec, Millicores: j.Cores, Memory: j.Memory, Estimate: j.Estimate,
		Priority: j.Route.Priority, Objective: j.objectiveAt.Sub(m.now), Avoid: t.avoid, StoppedRuns: t.stoppedRuns, Alone: to.alone, Returns: t.returns, Grace: j.graceOf(t), Kind: m.taskKind(j),
	}
	m.sendMessage(to.owner, msg)
}

// sendMessage sends a message to a peer, or handles it at once when the
// receiver is this VM.
func (m *Machine) sendMessage(to identifier.Member, msg peermessenger.Message) {
	if to != m.opts.Self {
		m.emit(SendMessage{To: to, Message: msg})
		return
	}
	m.handleTaskMessage(to, msg)
}

// handleTaskMessage handles a message about tasks, from a peer or from this VM.
func (m *Machine) handleTaskMessage(from identifier.Member, msg peermessenger.Message) {
	switch msg := msg.(type) {
	case peermessenger.RunTask:
		m.acceptTask(from, msg)
	case peermessenger.TaskPlaced:
		m.handleTaskPlaced(from, msg)
	case peermessenger.TaskEnded:
		m.handleTaskEnded(from, msg)
	case peermessenger.CancelRuns:
		m.cancelRuns(from, msg.Runs)
	case peermessenger.ClaimRuns:
		m.handleClaims(from, msg)
	}
}

// releasePending removes the demand of a sent task from the pending demand of
// its owner.
func (m *Machine) releasePending(j *openJob, t *task) {
	if t.state != taskSent {
		return
	}
	if p := m.peers[t.owner.VM]; p != nil && p.member == t.owner {
		if p.pending[t.intendedBackend] -= j.Cores; p.pending[t.intendedBackend] <= 0 {
			delete(p.pending, t.intendedBackend)
		}
	}
}

// findAwaitedTask returns the job and task of a run that this home waits for, or
// nil.
func (m *Machine) findAwaitedTask(ref identifier.RunRef) (*openJob, *task) {
	j := m.jobs[ref.Task.Submission]
	if j == nil || j.jobRun != ref.JobRun || int(ref.Task.Index) >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[ref.Task.Index]
	if t.runNumber != ref.Number || t.state == taskEnded || t.state == taskWaiting {
		return nil, nil
	}
	return j, t
}

func (m *Machine) handleTaskPlaced(from identifier.Member, msg peermessenger.TaskPlaced) {
	j, t := m.findAwaitedTask(msg.Run)
	if j == nil {
		m.sendMessage(from, peermessenger.CancelRuns{Runs: []identifier.RunRef{msg.Run}})
		return
	}
	m.releasePending(j, t)
	j.mayHaveRun = true
	t.state, t.owner, t.backend = taskPlaced, from, msg.Backend
	if known := m.owners[msg.Backend]; known.token > msg.Token && known.owner != from {
		m.claimRuns(known.owner, msg.Backend) // the server already has a later owner
		return
	}
	m.recordOwner(msg.Backend, from, msg.Token)
}

func (m *Machine) handleTaskEnded(from identifier.Member, msg peermessenger.TaskEnded) {
	j, t := m.findAwaitedTask(msg.Run)
	if j == nil {
		return // cancelled, or a repeated message
	}
	if from != t.owner && msg.Ending != peermessenger.RunDone {
		return // a later owner has taken over the run
	}
	m.releasePending(j, t)
	if msg.Loss != nil {
		m.recordLoss(*msg.Loss)
		if m.jobs[j.ID] != j {
			return // the task was given up
		}
	}
	if p := m.peers[from.VM]; p != nil && p.view != nil && msg.Backend != "" {
		if v, ok := p.view[msg.Backend]; ok && t.state == taskPlaced {
			v.free += j.Cores
			v.freeMem += j.Memory
			p.view[msg.Backend] = v
		}
	}
	j.mayHaveRun = j.mayHaveRun || msg.Ending != peermessenger.RunNotStarted
	index := int(msg.Run.Task.Index)
	switch msg.Ending {
	case peermessenger.RunDone:
		t.state = taskEnded
		j.openTasks--
		if j.openTasks == 0 {
			m.finishJob(j, Completed{})
		}
	case peermessenger.RunFailed:
		t.failures++
		t.avoid = appendUnique(t.avoid, msg.Backend)
		m.logDecision("runFailed", "job", j.ID, "task", index, "run", t.runNumber, "backend", msg.Backend, "failures", t.failures, "attempts", j.Route.MaxAttempts)
		if t.failures >= max(j.Route.MaxAttempts, 1) {
			t.state = taskEnded
			m.finishJob(j, Failed{Cause: "a task has failed as often as its route allows"})
			return
		}
		m.rerunTask(j, index, 1)
	case peermessenger.RunRejected:
		m.finishJob(j, Failed{Cause: "a backend server rejects a task as invalid: " + msg.Cause})
	case peermessenger.RunStopped, peermessenger.RunNotStarted:
		switch msg.Cause {
		case causeNoRoom:
			m.handleReturnedTask(j, index, from)
			return
		case causeOverdue:
			m.handleOverdueTask(j, t)
			return
		}
		m.logDecision("runAgain", "job", j.ID, "task", index, "run", t.runNumber, "backend", msg.Backend, "ending", msg.Ending, "cause", msg.Cause)
		if msg.Ending == peermessenger.RunStopped {
			t.avoid = appendUnique(t.avoid, msg.Backend)
			t.stoppedRuns++
		}
		step := identifier.RunNumber(1)
		if msg.Cause == causeSuperseded {
			step = supersededIncrement
		}
		m.rerunTask(j, index, step)
	}
}

func appendUnique(list []identifier.BackendID, id identifier.BackendID) []identifier.BackendID {
	if id == "" || slices.Contains(list, id) {
		return list
	}
	return append(slices.Clone(list), id)
}

// supersededIncrement is added to a run number after a server has already ended
// a run with a higher number, from an earlier submission of the same job.
const supersededIncrement = 16

// rerunTask starts a new run of a task whose latest run has ended or never
// started.
func (m *Machine) rerunTask(j *openJob, index int, step identifier.RunNumber) {
	t := &j.tasks[index]
	t.runNumber += step
	t.state = taskWaiting
	t.owner, t.backend = identifier.Member{}, ""
	if t.runNumber > maxRunNumber {
		m.finishJob(j, Lost{Cause: "a task has reached the bound of its run numbers"})
		return
	}
	if m.losses.LikelyCause(j.ref(index).Task) && m.now.Add(m.likelyCauseDelay()+j.Estimate).After(j.deadline) {
		m.finishJob(j, Lost{Cause: "too many servers are down to run a task again that may crash another one"})
		return
	}
	m.sendToBestOwner(j, index)
}

// sendToBestOwner sends one task to the owner that is best now.
func (m *Machine) sendToBestOwner(j *openJob, index int) {
	targets, _ := m.planTargets(j, []int{index})
	m.sendTask(j, index, targets[0])
}

// maxRunNumber bounds the run number of a task. A rerun adds 1 to it, or
// supersededIncrement.
const maxRunNumber = 100

// finishJob answers a job's callers and cancels its remaining tasks.
func (m *Machine) finishJob(j *openJob, o Outcome) {
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
	case Refused:
		m.counters.Refused++
	}
	m.logOutcome(j, o)
	for _, r := range j.requests {
		delete(m.jobOfRequest, r)
		m.emit(Reply{Request: r, Outcome: o})
	}
}

func (m *Machine) logOutcome(j *openJob, o Outcome) {
	cause := ""
	switch o := o.(type) {
	case Failed:
		cause = o.Cause
	case Lost:
		cause = o.Cause
	}
	fields := []any{"job", j.ID, "outcome", OutcomeName(o), "took", m.now.Sub(j.arrived), "objective", j.objectiveAt.Sub(j.arrived), "late", m.now.After(j.objectiveAt)}
	if cause != "" {
		fields = append(fields, "cause", cause)
	}
	if _, ok := o.(Completed); !ok {
		fields = append(fields, "tasks", j.taskSummaries())
	}
	m.logDecision("jobEnded", fields...)
}

// cancelTasks tells the owners of a job's tasks that the job needs them no
// longer.
func (m *Machine) cancelTasks(j *openJob) {
	byOwner := make(map[identifier.Member][]identifier.RunRef)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case taskSent, taskPlaced, taskOrphaned:
			m.releasePending(j, t)
			byOwner[t.owner] = append(byOwner[t.owner], j.ref(i))
			t.state = taskEnded
		case taskWaiting, taskEnded:
		}
	}
	for _, owner := range slices.SortedFunc(maps.Keys(byOwner), compareMembers) {
		m.sendMessage(owner, peermessenger.CancelRuns{Runs: byOwner[owner]})
	}
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// abandonRequest removes a request whose caller has left, and ends the job with
// the last one.
func (m *Machine) abandonRequest(r RequestID) {
	id, ok := m.jobOfRequest[r]
	if !ok {
		return
	}
	delete(m.jobOfRequest, r)
	j := m.jobs[id]
	j.requests = slices.DeleteFunc(j.requests, func(other RequestID) bool { return other == r })
	if len(j.requests) > 0 {
		return
	}
	delete(m.jobs, id)
	m.counters.Abandoned++
	m.logDecision("jobAbandoned", "job", id, "age", m.now.Sub(j.arrived), "tasks", j.taskSummaries())
	m.cancelTasks(j)
}

// orphanTasks marks the tasks of an owner as orphaned when this VM can't rely on
// the owner any more: all of them or, if backend is not empty, those that this
// server has started or may have. heard is when this VM last received a message
// from the owner; the owner may have received messages of this VM for up to
// reportInterval after that. The runs on its servers may continue for orphanBound
// from then on.
func (m *Machine) orphanTasks(owner identifier.Member, backend identifier.BackendID, heard time.Time) {
	var cancelled []identifier.RunRef
	for _, j := range m.sortedJobs() {
		tooLate := false
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.owner != owner || (t.state != taskSent && t.state != taskPlaced) {
				continue
			}
			if backend != "" && (t.backend != backend || t.state != taskPlaced) {
				continue
			}
			m.releasePending(j, t)
			j.mayHaveRun = true
			t.state = taskOrphaned
			t.restartAt = later(heard, t.sentAt).Add(reportInterval + orphanBound)
			if m.opts.defects.skipOrphanWait {
				t.restartAt = m.now
			}
			if backend == "" {
				cancelled = append(cancelled, j.ref(i))
			}
			m.logDecision("taskOrphaned", "job", j.ID, "task", i, "run", t.runNumber, "owner", owner, "backend", t.backend, "until", t.restartAt.Sub(m.now))
			tooLate = tooLate || t.restartAt.Add(j.Estimate).After(j.deadline)
		}
		if tooLate && !m.mayBeClaimed(j) {
			m.finishJob(j, Lost{Cause: "the owner of its tasks was lost"})
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

// mayBeClaimed reports whether for each orphaned task of a job the server is known
// that has started it or may have. A new owner may still keep the run there.
func (m *Machine) mayBeClaimed(j *openJob) bool {
	for i := range j.tasks {
		if j.tasks[i].state == taskOrphaned && j.tasks[i].backend == "" {
			return false
		}
	}
	return true
}

// claimRuns asks an owner to keep the runs that this home waits for: those on one
// server or, if backend is empty, all that the owner has as far as this home
// knows, except those of orphaned tasks.
func (m *Machine) claimRuns(owner identifier.Member, backend identifier.BackendID) {
	msg := peermessenger.ClaimRuns{Backend: backend}
	for _, j := range m.sortedJobs() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskWaiting || t.state == taskEnded {
				continue
			}
			if backend == "" && (t.owner != owner || t.state == taskOrphaned) {
				continue // it will be rerun; its owner stops what isn't claimed
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
		m.logDecision("runsClaimed", "owner", owner, "backend", backend, "runs", len(msg.Runs))
		m.sendMessage(owner, msg)
	}
}

// tickJobs ends jobs at their deadline, and reruns orphaned tasks and sends
// waiting ones to an owner when their wait is over.
func (m *Machine) tickJobs() {
	for _, j := range m.sortedJobs() {
		if !m.now.Before(j.deadline) {
			m.finishJob(j, TimedOut{})
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			switch {
			case m.jobs[j.ID] != j:
			case t.state == taskOrphaned && !m.now.Before(t.restartAt):
				m.rerunTask(j, i, 1)
			case t.state == taskWaiting && !m.now.Before(t.waitUntil):
				m.sendToBestOwner(j, i)
			}
		}
	}
}

func (m *Machine) sortedJobs() []*openJob {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *openJob) int { return cmp.Compare(a.ID, b.ID) })
}

// taskSummaries returns the states of a job's tasks for the log.
func (j *openJob) taskSummaries() []string {
	list := make([]string, 0, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		list = append(list, t.summary())
		if len(list) == maxLoggedTasks {
			break
		}
	}
	return list
}

// maxLoggedTasks bounds the tasks in one log line.
const maxLoggedTasks = 32

func (t *task) summary() string {
	names := [...]string{"waiting", "sent", "placed", "orphaned", "ended"}
	s := names[t.state]
	if t.state != taskWaiting && t.state != taskEnded {
		s += "@" + string(t.owner.VM) + "/" + string(t.backend)
	}
	return s
}
