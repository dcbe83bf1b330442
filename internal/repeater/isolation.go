package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/crashcounter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/packer"
)

// A task that was lost with a server runs alone, so that no other task goes down with it
// and the next crash shows whether the task is the cause. The tasks that may be the cause
// can take down only a small share of all servers at a time: the callers of other jobs need
// them more.

const (
	// isolationShare is the number of servers of a VM of which one may run a task alone.
	isolationShare = 4
	// likelyCauseShare is the number of servers of all VMs of which one may be lost under
	// tasks alone within aloneLossTime before likely causes of a crash have to wait.
	likelyCauseShare = 16
	// aloneLossTime is about the time until a crashed server is back.
	aloneLossTime = 3 * time.Second
)

// isolating returns the number of tasks that run alone on servers of this VM or wait for
// that.
func (m *Machine) isolating() int {
	n := m.runningAlone()
	for _, q := range m.queue {
		if q.msg.Alone {
			n++
		}
	}
	return n
}

func (m *Machine) runningAlone() (n int) {
	for _, o := range m.owned {
		if o.runsAlone() {
			n++
		}
	}
	return n
}

// likelyCauseDelay returns the time until another server may be lost under a task that runs
// alone, as far as this VM knows.
func (m *Machine) likelyCauseDelay() time.Duration {
	m.aloneLosses = slices.DeleteFunc(m.aloneLosses, func(at time.Time) bool { return m.now.Sub(at) >= aloneLossTime })
	limit := max(len(m.servers)/likelyCauseShare, 1)
	if len(m.aloneLosses) < limit {
		return 0
	}
	return aloneLossTime - m.now.Sub(m.aloneLosses[len(m.aloneLosses)-limit])
}

// sharedTasksQueued reports whether tasks that may share a server wait for room.
func (m *Machine) sharedTasksQueued() bool {
	return slices.ContainsFunc(m.queue, func(q *queuedTask) bool { return !q.msg.Alone })
}

// startTasksAlone starts the queued tasks that have to run alone on servers that run
// nothing, unlikely causes of a crash first. Where none is idle, it hides the one that is
// idle soonest from other tasks.
func (m *Machine) startTasksAlone(servers map[identifier.PoolID][]packer.Server) {
	var unlikely, likely []*queuedTask
	for _, q := range m.queue {
		task := q.msg.Run.Task
		verdict := m.losses.Verdict(task)
		q.msg.Alone = q.msg.Alone || verdict != crashcounter.RunShared // its home may not know yet
		switch {
		case !q.msg.Alone || verdict == crashcounter.GiveUp || m.runsOfTask[task] > 0:
		case m.losses.LikelyCause(task):
			likely = append(likely, q)
		default:
			unlikely = append(unlikely, q)
		}
	}
	if len(likely) > 0 && m.likelyCauseDelay() > 0 {
		likely = nil
	}
	if len(likely)+len(unlikely) == 0 {
		return
	}
	room := max(len(m.owned)/isolationShare, 1) - m.runningAlone()
	for _, q := range append(unlikely, likely...) {
		if room <= 0 {
			return
		}
		s := m.pickForIsolation(servers[q.msg.Pool], q)
		if s == nil {
			continue
		}
		room--
		s.Capacity, s.Free, s.FreeMem = 0, 0, 0 // hidden from all other tasks
		if o := m.owned[s.ID]; len(o.runs) == 0 {
			m.queue = slices.DeleteFunc(m.queue, func(other *queuedTask) bool { return other == q })
			m.startRun(o, q)
		}
	}
}

// pickForIsolation returns the server with the fewest runs, then the most free cores, among
// those that can hold a task and are not hidden, or nil.
func (m *Machine) pickForIsolation(servers []packer.Server, q *queuedTask) *packer.Server {
	var best *packer.Server
	for i := range servers {
		s := &servers[i]
		o := m.owned[s.ID]
		if s.Capacity == 0 || s.Capacity < q.msg.Millicores || o.Memory < q.msg.Memory || slices.Contains(q.msg.Avoid, s.ID) {
			continue
		}
		if best == nil || len(o.runs) < len(m.owned[best.ID].runs) || len(o.runs) == len(m.owned[best.ID].runs) && s.Free > best.Free {
			best = s
		}
	}
	return best
}

// leastIsolating returns the owner that runs the fewest tasks alone for its servers, as the
// target of a task that has to run alone.
func (f *fleetView) leastIsolating(j *openJob, avoid []identifier.BackendID) target {
	var best *backlog
	for i, s := range f.servers {
		if s.Capacity < j.Cores || slices.Contains(avoid, s.ID) {
			continue
		}
		b := f.backlog[f.owners[i].VM]
		if best == nil || b.isolated*best.servers < best.isolated*b.servers ||
			(b.isolated*best.servers == best.isolated*b.servers && b.servers > best.servers) {
			best = b
		}
	}
	if best == nil {
		return target{}
	}
	best.isolated++
	return target{found: true, fits: true, alone: true, owner: best.owner}
}
