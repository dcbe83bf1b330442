package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/packer"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// queuedTask is a task that waits for room at its owner.
type queuedTask struct {
	home          identifier.Member
	msg           peermessenger.RunTask
	objectiveAt   time.Time
	arrived       time.Time
	number        uint64
	refusedStarts int  // starts that the server refused
	ordered       bool // a server was told to start it
}

// maxRefusedStarts bounds the refused starts of one run at an owner. Then its
// home looks for another owner.
const maxRefusedStarts = 6

// reserveAfter is how long a task waits until a server is reserved for it, so
// that smaller tasks don't overtake it forever: about a third of the time that
// the shortest jobs can wait.
const reserveAfter = 40 * time.Millisecond

// before orders the queue by priority, then by objective, then by arrival.
func (q *queuedTask) before(other *queuedTask) bool {
	if q.msg.Priority != other.msg.Priority {
		return q.msg.Priority < other.msg.Priority
	}
	if !q.objectiveAt.Equal(other.objectiveAt) {
		return q.objectiveAt.Before(other.objectiveAt)
	}
	return q.number < other.number
}

func (m *Machine) enqueue(q *queuedTask) {
	m.lastQueueNumber++
	q.number, q.ordered = m.lastQueueNumber, false
	i, _ := slices.BinarySearchFunc(m.queue, q, func(a, b *queuedTask) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	m.queue = slices.Insert(m.queue, i, q)
	m.reportChanged = true
}

// acceptTask queues a task of a home, or answers at once that it can't run
// here.
func (m *Machine) acceptTask(home identifier.Member, msg peermessenger.RunTask) {
	if e, ok := m.ended[msg.Run]; ok {
		m.sendMessage(home, e.msg)
		return
	}
	switch cause := m.queueRefusal(msg); cause {
	case "":
	case causeEvacuated:
		m.returnEvacuatedTask(home, msg.Run)
		return
	default:
		m.sendMessage(home, peermessenger.TaskEnded{Run: msg.Run, Ending: peermessenger.RunNotStarted, Cause: cause})
		return
	}
	for _, q := range m.queue {
		if q.msg.Run == msg.Run {
			m.markSharing(home)
			q.home = home // the job was submitted to another home
			return
		}
	}
	if m.runsOfTask[msg.Run.Task] > 0 && m.joinOrReplaceRun(home, msg) {
		m.markSharing(home)
		return
	}
	if m.returnsTask(home, msg) {
		m.returnTask(home, msg)
		return
	}
	m.markSharing(home)
	m.enqueue(&queuedTask{home: home, msg: msg, objectiveAt: m.now.Add(msg.Objective), arrived: m.now})
}

// joinOrReplaceRun assigns a run that is already at a server to the home that
// asks for it, and reports whether it could. It stops other runs of the same
// task.
func (m *Machine) joinOrReplaceRun(home identifier.Member, msg peermessenger.RunTask) bool {
	for o, r := range m.allRuns() {
		if r.ref.Task != msg.Run.Task {
			continue
		}
		if r.ref == msg.Run && r.state != runStopping && r.state != runFound {
			r.home = home
			if r.state == runRunning {
				m.sendMessage(home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
			}
			return true
		}
		m.stopRun(o, r, "replaced by another run of the task")
	}
	return false
}

// queueRefusal returns why a task can't be queued here, or "" if it can.
func (m *Machine) queueRefusal(msg peermessenger.RunTask) string {
	if m.now.Before(m.refuseUntil) {
		return "its owner was paused" // the request may have waited through the pause
	}
	if len(m.queue) >= maxQueuedTasks {
		return "queueFull"
	}
	cause := "noServer"
	for _, o := range m.owned {
		if o.Pool != msg.Pool || o.Cores < msg.Millicores || o.phase == phaseReleasing || o.Leaving {
			continue
		}
		if !o.evacuated {
			return ""
		}
		cause = causeEvacuated
	}
	return cause
}

// startQueuedTasks starts the queued tasks that a server has room for, in queue
// order within each class.
func (m *Machine) startQueuedTasks() {
	if len(m.queue) == 0 {
		return
	}
	ids := m.ownedIDs()
	servers := m.startableServers(ids)
	m.startTasksAlone(servers)
	reserved := false
	for class := startFirst; class <= startLast; class++ {
		for _, q := range m.queue {
			if q.ordered || m.startClassOf(q) != class || q.msg.Alone || m.runsOfTask[q.msg.Run.Task] > 0 {
				continue
			}
			d := packer.Demand{Cores: q.msg.Millicores, Memory: q.msg.Memory}
			m.setDisturbance(servers[q.msg.Pool], q.msg.Kind)
			i := packer.Pick(servers[q.msg.Pool], d, q.msg.Avoid)
			if i < 0 {
				if !reserved && m.now.Sub(q.arrived) > reserveAfter {
					reserved = true
					reserveServer(servers[q.msg.Pool], d)
				}
				continue
			}
			s := &servers[q.msg.Pool][i]
			s.Free -= d.Cores
			s.FreeMem -= d.Memory
			m.startRun(m.owned[s.ID], q)
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(q *queuedTask) bool { return q.ordered })
}

// startClass groups queued tasks by whether their jobs can still be on time.
type startClass uint8

const (
	startFirst startClass = iota // the rest of a job that has begun, and is late by more than its grace
	startInOrder
	startLast // the job will be late
)

// startClassOf returns when a task starts in relation to the others. In a shortage, tasks
// that are late would otherwise keep those that come after them from being on time, and soon
// all are late.
func (m *Machine) startClassOf(q *queuedTask) startClass {
	switch {
	case !m.opts.LateTasksLast:
		return startInOrder
	case q.msg.Grace > 0 && m.now.After(q.objectiveAt.Add(q.msg.Grace)):
		return startFirst
	case q.msg.Grace > 0 || m.now.Add(q.msg.Estimate).After(q.objectiveAt):
		return startLast
	}
	return startInOrder
}

// startableServers returns the servers that can start a run now, by pool.
func (m *Machine) startableServers(ids []identifier.BackendID) map[identifier.PoolID][]packer.Server {
	servers := make(map[identifier.PoolID][]packer.Server, 1)
	for _, id := range ids {
		o := m.owned[id]
		if !o.canStart(m.now) || !m.knowsCapacity(o) {
			continue
		}
		free, mem := o.free(m.now)
		servers[o.Pool] = append(servers[o.Pool], packer.Server{ID: id, Capacity: o.Cores, Free: free, FreeMem: mem, Slowness: m.paceOf(id)})
	}
	return servers
}

// reserveServer hides the server with the most free cores that can hold a task
// from the tasks after it in the queue.
func reserveServer(servers []packer.Server, d packer.Demand) {
	best := -1
	for i, s := range servers {
		if s.Capacity >= d.Cores && (best < 0 || s.Free > servers[best].Free) {
			best = i
		}
	}
	if best >= 0 {
		servers[best].Free = 0
	}
}

// startRun tells a server to start a queued task.
func (m *Machine) startRun(o *ownedServer, q *queuedTask) {
	m.counters.Starts++
	q.ordered = true
	r := &run{ref: q.msg.Run, home: q.home, msg: q.msg, state: runStarting, knownSince: m.now, stoppedRuns: q.msg.StoppedRuns}
	m.addRun(o, r)
	id := m.registerCall(serverCall{server: o.ID, run: r.ref, queued: q})
	expires := o.serverNow(m.now) + ServerTime(leaseDuration)
	o.leaseEnd = max(o.leaseEnd, expires)
	m.reportChanged = true
	m.logDecision("runOrdered", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID,
		"home", q.home.VM, "waited", m.now.Sub(q.arrived), "tries", q.refusedStarts, "clockAge", m.now.Sub(o.clockAt))
	m.emit(StartRun{Call: id, Server: o.Server, Token: o.token, Run: r.ref, Spec: q.msg.Spec, Expires: expires, Timeout: m.startAnswers.timeout()})
}

// requeue queues a task again after a refused start, or returns it to its home.
func (m *Machine) requeue(q *queuedTask, cause string) {
	m.counters.StartsFailed++
	q.refusedStarts++
	if q.refusedStarts >= maxRefusedStarts || m.draining && m.anyPeerServing() || m.queueRefusal(q.msg) != "" {
		m.sendMessage(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: cause})
		return
	}
	m.enqueue(q)
}
