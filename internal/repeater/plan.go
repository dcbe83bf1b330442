package repeater

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/admitter"
	"github.com/peppertrack/peppertrack/internal/crashcounter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/packer"
)

// target is the owner that a task is sent to, if one was found.
type target struct {
	found   bool
	owner   identifier.Member
	backend identifier.BackendID // the server that seems to have room
	fits    bool
	alone   bool // the owner keeps a server free for the task
}

// fleetView is a home's view of the servers that may run a job.
type fleetView struct {
	servers  []packer.Server
	owners   []identifier.Member // owner of the server with the same index
	backlog  map[identifier.VMID]*backlog
	capacity identifier.Millicores
}

// backlog is the queued work of one owner, in millicores times milliseconds.
type backlog struct {
	owner    identifier.Member
	capacity identifier.Millicores
	servers  int
	isolated int   // tasks that run or will run alone
	ahead    int64 // that the job would wait for
	work     int64 // ahead, and the tasks of the job that were added since
}

// viewFleet returns the servers of the job's pool that accept work and belong
// to this VM or to peers in its neighborhood, as far as this VM knows.
func (m *Machine) viewFleet(j *openJob) *fleetView {
	f := &fleetView{backlog: make(map[identifier.VMID]*backlog)}
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		if o.Pool != j.Route.Pool || !o.usable(m.now) || !m.knowsCapacity(o) {
			continue
		}
		free, mem := identifier.Millicores(0), identifier.Mebibytes(0)
		if o.canStart(m.now) && !m.sharedTasksQueued() {
			free, mem = o.free(m.now)
		}
		m.addServer(f, m.opts.Self, o.Server, free, mem, false, false)
	}
	if b := f.backlog[m.opts.Self.VM]; b != nil {
		b.ahead = workUpTo(m.queuedWork(), j.Route.Priority)
		b.work = b.ahead
		b.isolated = m.isolating()
	}
	m.addPeerServers(f, j, true)
	return f
}

// addPeerServers adds the servers of the peers in the neighborhood, or of the
// contacts beyond it.
func (m *Machine) addPeerServers(f *fleetView, j *openJob, near bool) {
	for _, p := range m.peersFor(j) {
		if near && !p.near || !near && !p.contact || !m.alive(p) || p.draining {
			continue
		}
		for _, id := range p.viewIDs {
			v, ok := p.view[id]
			s, listed := m.servers[id]
			if !ok || !listed || !v.usable || s.Leaving || m.evacuations.Evacuated(s.Domain) || s.Pool != j.Route.Pool {
				continue
			}
			m.addServer(f, p.member, s, v.free, v.freeMem, s.Domain != m.opts.Domain, true)
		}
		if b := f.backlog[p.member.VM]; b != nil {
			b.ahead = workUpTo(p.queued, j.Route.Priority) + p.unplacedWork
			b.work = b.ahead
			b.isolated = p.isolating
		}
	}
}

func workUpTo(w [4]int64, priority int) (sum int64) {
	for i := 0; i <= min(max(priority, 0), len(w)-1); i++ {
		sum += w[i]
	}
	return sum
}

func (m *Machine) addServer(f *fleetView, owner identifier.Member, s Server, free identifier.Millicores, mem identifier.Mebibytes, remote, peer bool) {
	f.servers = append(f.servers, packer.Server{ID: s.ID, Capacity: s.Cores, Free: free, FreeMem: mem, OtherFailureDomain: remote, OwnedByPeer: peer, Slowness: m.paceOf(s.ID)})
	f.owners = append(f.owners, owner)
	f.capacity += s.Cores
	b := f.backlog[owner.VM]
	if b == nil {
		b = &backlog{owner: owner}
		f.backlog[owner.VM] = b
	}
	b.capacity += s.Cores
	b.servers++
}

// planTargets chooses a target for each of a job's tasks: a server with room in
// the neighborhood, else one of a contact beyond it, else the owner with the least queued
// work for its capacity. It also returns the view that it chose from.
func (m *Machine) planTargets(j *openJob, tasks []int) ([]target, *fleetView) {
	f := m.viewFleet(j)
	searchedAll := false
	demand := packer.Demand{Cores: j.Cores, Memory: j.Memory}
	targets := make([]target, len(tasks))
	for n, index := range tasks {
		avoid := j.tasks[index].avoid
		if m.losses.Verdict(j.ref(index).Task) != crashcounter.RunShared {
			targets[n] = f.leastIsolating(j, avoid)
			continue
		}
		i := packer.Pick(f.servers, demand, avoid)
		if i < 0 && !searchedAll {
			searchedAll = true
			m.addPeerServers(f, j, false)
			i = packer.Pick(f.servers, demand, avoid)
		}
		if i >= 0 {
			targets[n] = target{found: true, fits: true, owner: f.owners[i], backend: f.servers[i].ID}
			f.servers[i].Free -= demand.Cores
			f.servers[i].FreeMem -= demand.Memory
			continue
		}
		targets[n] = f.addToShortestQueue(j, avoid)
	}
	return targets, f
}

// addToShortestQueue adds a task to the queue of the owner with the least
// queued work for its capacity.
func (f *fleetView) addToShortestQueue(j *openJob, avoid []identifier.BackendID) target {
	var best *backlog
	for i, s := range f.servers {
		if s.Capacity < j.Cores || slices.Contains(avoid, s.ID) {
			continue
		}
		b := f.backlog[f.owners[i].VM]
		if best == nil || b.workPerCapacity() < best.workPerCapacity() ||
			(b.workPerCapacity() == best.workPerCapacity() && b.owner.VM < best.owner.VM) {
			best = b
		}
	}
	if best == nil {
		return target{}
	}
	best.work += taskWork(j.Cores, j.Estimate)
	return target{found: true, owner: best.owner}
}

func (b *backlog) workPerCapacity() float64 { return float64(b.work) / float64(max(b.capacity, 1)) }

// admissionFleet returns the fleet's capacity and load, and the work of the
// planned tasks that have no room, for the decision on admission.
func (f *fleetView) admissionFleet(j *openJob, targets []target) admitter.Fleet {
	sum := admitter.Fleet{Capacity: f.capacity}
	for _, b := range f.backlog {
		sum.QueuedAhead += b.ahead
	}
	for _, t := range targets {
		if !t.fits {
			sum.Unplaced += taskWork(j.Cores, j.Estimate)
		}
		if !t.found {
			sum.Capacity = 0 // no server can hold the task
		}
	}
	return sum
}
