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
	home      identifier.Member
	msg       peermessenger.RunTask
	objective time.Time
	arrived   time.Time
	sequence  uint64
	tries     int // starts that were refused
}

// maxTries bounds the starts of one run that servers refuse, before its home
// looks for another owner.
const maxTries = 6

// reserveAfter is how long a task waits until a server is kept free for it, so
// that smaller tasks don't pass it for ever: about a third of the time that the
// shortest jobs can wait.
const reserveAfter = 40 * time.Millisecond

// before orders the queue: by priority, then by the objective.
func (q *queuedTask) before(other *queuedTask) bool {
	if q.msg.Priority != other.msg.Priority {
		return q.msg.Priority < other.msg.Priority
	}
	if !q.objective.Equal(other.objective) {
		return q.objective.Before(other.objective)
	}
	return q.sequence < other.sequence
}

func (m *Machine) enqueue(q *queuedTask) {
	m.queueSeq++
	q.sequence = m.queueSeq
	i, _ := slices.BinarySearchFunc(m.queue, q, func(a, b *queuedTask) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	m.queue = slices.Insert(m.queue, i, q)
	m.reportDirty = true
}

// acceptTask queues a task of a home, or says at once that it can't run here.
func (m *Machine) acceptTask(home identifier.Member, msg peermessenger.RunTask) {
	m.share(home)
	if e, ok := m.ended[msg.Run]; ok {
		m.tell(home, e.msg)
		return
	}
	if cause := m.unable(msg); cause != "" {
		m.tell(home, peermessenger.TaskEnded{Run: msg.Run, Ending: peermessenger.RunNotStarted, Cause: cause})
		return
	}
	for _, q := range m.queue {
		if q.msg.Run == msg.Run {
			q.home = home // the job was sent to another home
			return
		}
	}
	if m.running[msg.Run.Task] > 0 && m.joinRun(home, msg) {
		return
	}
	m.enqueue(&queuedTask{home: home, msg: msg, objective: m.now.Add(msg.Objective), arrived: m.now})
}

// joinRun stops the runs of a task for another one. It reports true when the run
// that is asked for goes on already.
func (m *Machine) joinRun(home identifier.Member, msg peermessenger.RunTask) bool {
	for o, r := range m.allRuns() {
		if r.ref.Task != msg.Run.Task {
			continue
		}
		if r.ref == msg.Run && r.state != runStopping && r.state != runOrphan {
			r.home = home
			if r.state == runRunning {
				m.tell(home, peermessenger.TaskPlaced{Run: r.ref, Backend: o.ID, Token: o.token})
			}
			return true
		}
		m.stop(o, r, "replaced by another run of the task")
	}
	return false
}

// unable returns why a task can't be queued here, or nothing.
func (m *Machine) unable(msg peermessenger.RunTask) string {
	if m.now.Before(m.refuseUntil) {
		return "its owner was paused" // the request may have waited through it
	}
	if len(m.queue) >= maxQueue {
		return "queueFull"
	}
	for _, o := range m.owned {
		if o.Pool == msg.Pool && o.Cores >= msg.Millicores && o.phase != phaseReleasing && !o.Leaving {
			return ""
		}
	}
	return "noServer"
}

// pump starts the tasks of the queue that have room, in order.
func (m *Machine) pump() {
	if len(m.queue) == 0 {
		return
	}
	ids := m.ownedIDs()
	servers := m.packable(ids)
	reserved := false
	kept := m.queue[:0]
	for _, q := range m.queue {
		if m.running[q.msg.Run.Task] > 0 {
			kept = append(kept, q)
			continue
		}
		d := packer.Demand{Cores: q.msg.Millicores, Memory: q.msg.Memory}
		i := packer.Pick(servers[q.msg.Pool], d, q.msg.Avoid)
		if i < 0 {
			if !reserved && m.now.Sub(q.arrived) > reserveAfter {
				reserved = true
				reserve(servers[q.msg.Pool], d)
			}
			kept = append(kept, q)
			continue
		}
		s := &servers[q.msg.Pool][i]
		s.Free -= d.Cores
		s.FreeMem -= d.Memory
		m.start(m.owned[s.ID], q)
	}
	clear(m.queue[len(kept):])
	m.queue = kept
}

// packable returns the servers that can start something now, by pool.
func (m *Machine) packable(ids []identifier.BackendID) map[identifier.PoolID][]packer.Server {
	servers := make(map[identifier.PoolID][]packer.Server, 1)
	for _, id := range ids {
		o := m.owned[id]
		if !o.startable(m.now) {
			continue
		}
		free, mem := o.free()
		servers[o.Pool] = append(servers[o.Pool], packer.Server{ID: id, Capacity: o.Cores, Free: free, FreeMem: mem, Slowness: 1})
	}
	return servers
}

// reserve keeps the server that is the closest to have room for a task from
// later ones.
func reserve(servers []packer.Server, d packer.Demand) {
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

// start orders a server to start a queued task.
func (m *Machine) start(o *ownedServer, q *queuedTask) {
	m.counters.Starts++
	r := &run{ref: q.msg.Run, home: q.home, msg: q.msg, state: runStarting, since: m.now, moves: q.msg.Moves}
	m.addRun(o, r)
	id := m.newOrder(order{server: o.ID, run: r.ref, queued: q})
	expires := o.serverNow(m.now) + ServerTime(leaseLength)
	o.leaseEnd = max(o.leaseEnd, expires)
	m.reportDirty = true
	m.record("runOrdered", "job", r.ref.Task.Submission, "task", r.ref.Task.Index, "run", r.ref.Number, "backend", o.ID,
		"home", q.home.VM, "waited", m.now.Sub(q.arrived), "tries", q.tries, "clockAge", m.now.Sub(o.clockAt))
	m.emit(StartRun{Order: id, Server: o.Server, Token: o.token, Run: r.ref, Spec: q.msg.Spec, Expires: expires})
}

// requeue puts a task back whose start was refused, or gives it back to its home.
func (m *Machine) requeue(q *queuedTask, cause string) {
	m.counters.StartsFailed++
	q.tries++
	if q.tries >= maxTries || m.draining && m.anyPeerAlive() || m.unable(q.msg) != "" {
		m.tell(q.home, peermessenger.TaskEnded{Run: q.msg.Run, Ending: peermessenger.RunNotStarted, Cause: cause})
		return
	}
	m.enqueue(q)
}
