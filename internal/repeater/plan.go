package repeater

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/admitter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/packer"
)

// target is where a task is sent.
type target struct {
	found   bool
	owner   identifier.Member
	backend identifier.BackendID // the server that seems to have room
	fits    bool
}

// fleet is a home's view of the servers that may run a job.
type fleet struct {
	servers  []packer.Server
	owners   []identifier.Member // of the same indexes
	backlog  map[identifier.VMID]*backlog
	capacity identifier.Millicores
}

// backlog is the load of one owner.
type backlog struct {
	owner    identifier.Member
	capacity identifier.Millicores
	ahead    int64 // before the job
	work     int64 // with the tasks of the job that were added to it
}

// view collects the servers of a pool that take work in the neighborhood of this
// VM, as far as is known here.
func (m *Machine) view(j *openJob) *fleet {
	f := &fleet{backlog: make(map[identifier.VMID]*backlog)}
	for _, id := range m.ownedIDs() {
		o := m.owned[id]
		if o.Pool != j.Route.Pool || !o.usable(m.now) {
			continue
		}
		free, mem := identifier.Millicores(0), identifier.Mebibytes(0)
		if o.startable(m.now) && len(m.queue) == 0 {
			free, mem = o.free()
		}
		f.add(m.opts.Self, o.Server, free, mem, false, false)
	}
	if b := f.backlog[m.opts.Self.VM]; b != nil {
		b.ahead = sumUpTo(m.queuedWork(), j.Route.Priority)
		b.work = b.ahead
	}
	m.viewPeers(f, j, true)
	return f
}

// viewPeers adds the servers of peers in the neighborhood, or of those beyond it.
func (m *Machine) viewPeers(f *fleet, j *openJob, near bool) {
	for _, p := range m.sortedPeers() {
		if p.near != near || !m.alive(p) || p.draining {
			continue
		}
		for _, id := range p.viewed {
			v, ok := p.view[id]
			s, listed := m.servers[id]
			if !ok || !listed || !v.usable || s.Leaving || s.Pool != j.Route.Pool {
				continue
			}
			f.add(p.member, s, v.free, v.freeMem, s.Domain != m.opts.Domain, true)
		}
		if b := f.backlog[p.member.VM]; b != nil {
			b.ahead = sumUpTo(p.queued, j.Route.Priority) + p.extra
			b.work = b.ahead
		}
	}
}

func sumUpTo(w [4]int64, priority int) (sum int64) {
	for i := 0; i <= min(max(priority, 0), len(w)-1); i++ {
		sum += w[i]
	}
	return sum
}

func (f *fleet) add(owner identifier.Member, s Server, free identifier.Millicores, mem identifier.Mebibytes, remote, peer bool) {
	f.servers = append(f.servers, packer.Server{ID: s.ID, Capacity: s.Cores, Free: free, FreeMem: mem, Remote: remote, Peer: peer, Slowness: 1})
	f.owners = append(f.owners, owner)
	f.capacity += s.Cores
	b := f.backlog[owner.VM]
	if b == nil {
		b = &backlog{owner: owner}
		f.backlog[owner.VM] = b
	}
	b.capacity += s.Cores
}

// plan chooses a target for each of a job's tasks: a server with room in the
// neighborhood, one beyond it, or else the owner with the shortest queue for its
// capacity. It also returns the view that it chose by.
func (m *Machine) plan(j *openJob, tasks []int) ([]target, *fleet) {
	f := m.view(j)
	whole := false
	demand := packer.Demand{Cores: j.Cores, Memory: j.Memory}
	targets := make([]target, len(tasks))
	for n, index := range tasks {
		avoid := j.tasks[index].avoid
		i := packer.Pick(f.servers, demand, avoid)
		if i < 0 && !whole {
			whole = true
			m.viewPeers(f, j, false)
			i = packer.Pick(f.servers, demand, avoid)
		}
		if i >= 0 {
			targets[n] = target{found: true, fits: true, owner: f.owners[i], backend: f.servers[i].ID}
			f.servers[i].Free -= demand.Cores
			f.servers[i].FreeMem -= demand.Memory
			continue
		}
		targets[n] = f.shortestQueue(j, avoid)
	}
	return targets, f
}

// shortestQueue adds a task to the owner that should start it first.
func (f *fleet) shortestQueue(j *openJob, avoid []identifier.BackendID) target {
	var best *backlog
	for i, s := range f.servers {
		if s.Capacity < j.Cores || slices.Contains(avoid, s.ID) {
			continue
		}
		b := f.backlog[f.owners[i].VM]
		if best == nil || b.perCapacity() < best.perCapacity() ||
			(b.perCapacity() == best.perCapacity() && b.owner.VM < best.owner.VM) {
			best = b
		}
	}
	if best == nil {
		return target{}
	}
	best.work += work(j.Cores, j.Estimate)
	return target{found: true, owner: best.owner}
}

func (b *backlog) perCapacity() float64 { return float64(b.work) / float64(max(b.capacity, 1)) }

// sumUp tells the decision on admission what a plan has found.
func (f *fleet) sumUp(j *openJob, plan []target) admitter.Fleet {
	sum := admitter.Fleet{Capacity: f.capacity}
	for _, b := range f.backlog {
		sum.Ahead += b.ahead
	}
	for _, t := range plan {
		if !t.fits {
			sum.Unplaced += work(j.Cores, j.Estimate)
		}
		if !t.found {
			sum.Capacity = 0 // no server can hold the task
		}
	}
	return sum
}
