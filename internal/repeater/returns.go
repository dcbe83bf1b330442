package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/packer"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// A home chooses a server by its owner's latest load report. When a fleet is nearly full,
// most of the free room in a report is taken by the time that it is read, and the tasks
// that all homes send after it wait at one owner while others have room. An owner that can't
// start a task at once therefore returns it, and the home looks
// again, elsewhere until the next report. After maxReturns the task waits where it is.

// maxReturns is how often a task is returned for want of room. Each return costs two VMs
// about as much processor time as a start.
const maxReturns = 1

// causeNoRoom is the cause of tasks that an owner returns because others may have room.
const causeNoRoom = "noRoom"

// returnsTask reports whether a task should look for room at another owner instead of
// waiting here.
func (m *Machine) returnsTask(home identifier.Member, msg peermessenger.RunTask) bool {
	if !m.opts.ReturnTasks || msg.Alone || msg.Returns >= maxReturns || home == m.opts.Self && !m.anyPeerServing() {
		return false
	}
	servers := m.startableServers(m.ownedIDs())
	return packer.Pick(servers[msg.Pool], packer.Demand{Cores: msg.Millicores, Memory: msg.Memory}, msg.Avoid) < 0
}

// returnTask returns a task to its home.
func (m *Machine) returnTask(home identifier.Member, msg peermessenger.RunTask) {
	m.counters.TasksReturned++
	m.logDecision("taskReturned", "job", msg.Run.Task.Submission, "task", msg.Run.Task.Index, "run", msg.Run.Number, "home", home.VM,
		"cause", causeNoRoom, "returns", msg.Returns, "queued", len(m.queue))
	m.sendMessage(home, peermessenger.TaskEnded{Run: msg.Run, Ending: peermessenger.RunNotStarted, Cause: causeNoRoom})
}

// handleReturnedTask looks for room for a task that its owner has returned. The owner has
// none for a task of this size, whatever it reported last.
func (m *Machine) handleReturnedTask(j *openJob, index int, from identifier.Member) {
	if p := m.peers[from.VM]; p != nil && p.member == from {
		for id, v := range p.view {
			v.free = min(v.free, j.Cores-1)
			p.view[id] = v
		}
		if t := &j.tasks[index]; p.lastSharedAt.Equal(t.sentAt) {
			p.lastSharedAt = t.sharedBefore // the owner keeps nothing of the task
		}
	}
	j.tasks[index].returns++
	m.rerunTask(j, index, 1)
}

// causeOverdue is the cause of tasks that an owner returns because their job's objective has
// passed before they could start.
const causeOverdue = "overdue"

// returnOverdueTasks returns the queued tasks whose job's objective has passed, once each.
// Their homes refuse the jobs of which nothing has run, instead of holding their callers
// until they leave.
func (m *Machine) returnOverdueTasks() {
	if !m.opts.LateTasksLast {
		return
	}
	var overdue []*queuedTask
	m.queue = slices.DeleteFunc(m.queue, func(q *queuedTask) bool {
		if q.msg.Grace > 0 || m.now.Before(q.objectiveAt) {
			return false
		}
		overdue = append(overdue, q)
		return true
	})
	for _, q := range overdue {
		m.counters.TasksOverdue++
		m.logDecision("taskReturned", "job", q.msg.Run.Task.Submission, "task", q.msg.Run.Task.Index, "run", q.msg.Run.Number, "home", q.home.VM,
			"cause", causeOverdue, "waited", m.now.Sub(q.arrived), "queued", len(m.queue))
		m.sendMessage(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: causeOverdue})
	}
}

// graceReserve is how many times a task's estimate is left for it before its caller leaves
// when its grace ends: estimates are off by 40%, and some servers are slower than others.
// graceSlack is left besides, for the time until a server has room.
const (
	graceReserve = 2
	graceSlack   = 600 * time.Millisecond
)

// graceOf returns the grace of a task: once it is overdue, as long as it can still end before
// the caller leaves if it starts then.
func (j *openJob) graceOf(t *task) time.Duration {
	if !t.overdue {
		return 0
	}
	return max(j.deadline.Sub(j.objectiveAt)-graceReserve*j.Estimate-graceSlack, time.Millisecond)
}

// overdueRecheck is how long a home waits for the other tasks of a job before it sends one
// that is overdue to an owner again: their owners find out at their next ticks.
const overdueRecheck = maxTickInterval + 2*answerAllowance

// handleOverdueTask handles a task that its owner has returned because the objective has
// passed. If no server can have started any task of the job, it is refused.
func (m *Machine) handleOverdueTask(j *openJob, t *task) {
	t.runNumber++
	t.overdue, t.state, t.waitUntil = true, taskWaiting, m.now.Add(overdueRecheck)
	t.owner, t.backend = identifier.Member{}, ""
	if j.mayHaveRun || slices.ContainsFunc(j.tasks, func(t task) bool { return !t.overdue || t.state != taskWaiting }) {
		return
	}
	m.finishJob(j, Refused{Overloaded: true, RetryAfter: m.now.Sub(j.arrived), Reason: "no task of the job could start within its objective"})
}
