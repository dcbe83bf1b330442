package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	testTick    = 2 * time.Millisecond
	testLatency = 700 * time.Microsecond
)

// action is a function that a fleet calls at the given time.
type action struct {
	at       time.Time
	sequence int
	do       func()
}

type actionQueue []action

func (a actionQueue) Len() int { return len(a) }

func (a actionQueue) Less(i, k int) bool {
	if a[i].at.Equal(a[k].at) {
		return a[i].sequence < a[k].sequence
	}
	return a[i].at.Before(a[k].at)
}
func (a actionQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actionQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet simulates entry VMs, each with a Placer, the network between them, and
// backend servers that run tasks and refuse starts when their slots are full.
type fleet struct {
	now        time.Time
	rand       *rand.Rand
	jobRand    *rand.Rand // for the jobs only, so that all policies get the same jobs
	actions    actionQueue
	scheduled  int
	vms        []*fleetVM
	members    []DomainMember
	used       map[identifier.BackendID]int
	lossRate   float64 // share of the messages that are lost
	repeatRate float64 // share of the messages that arrive twice
	jitter     time.Duration
	backends   []Backend
	longTask   time.Duration // run time of one task in fifty; 0: no task is long

	starts, refused, messages int
	slowdowns                 []float64
}

type fleetVM struct {
	fleet   *fleet
	member  DomainMember
	placer  *Placer
	waiting []TaskNeeds
	jobs    map[identifier.SubmissionID]*fleetJob
	dead    bool
}

type fleetJob struct {
	arrived   time.Time
	tasksLeft int
	longest   time.Duration
	times     []time.Duration
}

func newFleet(seed uint64, vms, backends int) *fleet {
	f := &fleet{now: epoch, rand: rand.New(rand.NewPCG(seed, 2)), jobRand: rand.New(rand.NewPCG(seed, 4)), used: make(map[identifier.BackendID]int), backends: testBackends(backends)}
	for i := range vms {
		f.members = append(f.members, DomainMember{
			Member: identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", i)), Incarnation: 1},
			Domain: identifier.FailureDomain(fmt.Sprint("d", i%3)),
		})
	}
	for _, m := range f.members {
		f.addVM(m)
	}
	return f
}

func (f *fleet) addVM(m DomainMember) *fleetVM {
	vm := &fleetVM{fleet: f, member: m, jobs: make(map[identifier.SubmissionID]*fleetJob)}
	vm.placer = New(Options{Self: m.Member, Domain: m.Domain, Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 3))})
	vm.placer.SetMembers(f.now, f.members)
	vm.placer.SetBackends(f.now, f.backends)
	f.vms = append(f.vms, vm)
	f.schedule(time.Duration(f.rand.Int64N(int64(testTick))), vm.tick)
	return vm
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.scheduled++
	heap.Push(&f.actions, action{at: f.now.Add(d), sequence: f.scheduled, do: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.actions) > 0 && !f.actions[0].at.After(end) {
		a := heap.Pop(&f.actions).(action)
		f.now = a.at
		a.do()
	}
	f.now = end
}

func (vm *fleetVM) tick() {
	if vm.dead {
		return
	}
	vm.apply(vm.placer.Step(vm.fleet.now, Tick{}))
	vm.fleet.schedule(testTick, vm.tick)
}

func (vm *fleetVM) step(e Event) {
	if !vm.dead {
		vm.apply(vm.placer.Step(vm.fleet.now, e))
	}
}

func (vm *fleetVM) apply(effects []Effect) {
	freed := false
	for _, e := range effects {
		switch e := e.(type) {
		case SlotsFreed:
			freed = true
		case Send:
			vm.fleet.send(vm.member.Member, e)
		}
	}
	if freed && len(vm.waiting) > 0 {
		vm.place()
	}
}

func (f *fleet) send(from identifier.Member, s Send) {
	f.messages++
	copies := 1
	if f.rand.Float64() < f.lossRate {
		copies = 0
	} else if f.rand.Float64() < f.repeatRate {
		copies = 2
	}
	for range copies {
		delay := testLatency + time.Duration(f.rand.Int64N(int64(f.jitter)+1))
		f.schedule(delay, func() {
			for _, vm := range f.vms {
				if vm.member.Member == s.To {
					vm.step(PeerMessage{From: from, Message: s.Message})
				}
			}
		})
	}
}

// submit queues a job's tasks on a VM and tries to place them.
func (vm *fleetVM) submit(name string, times []time.Duration, policy Policy, goal Goal) {
	id := identifier.SubmissionID(name)
	vm.jobs[id] = &fleetJob{arrived: vm.fleet.now, tasksLeft: len(times), longest: slices.Max(times), times: times}
	for i := range times {
		vm.waiting = append(vm.waiting, TaskNeeds{
			Ref:          identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)},
			Millicores:   1000,
			Policy:       policy,
			Goal:         goal,
			WaitingSince: vm.fleet.now,
		})
	}
	vm.place()
}

func (vm *fleetVM) place() {
	f := vm.fleet
	placements := vm.placer.Place(f.now, vm.waiting)
	placed := make(map[identifier.TaskRef]TaskNeeds, len(placements))
	i := 0
	vm.waiting = slices.DeleteFunc(vm.waiting, func(w TaskNeeds) bool {
		if i < len(placements) && placements[i].Ref == w.Ref {
			placed[w.Ref] = w
			i++
			return true
		}
		return false
	})
	for _, p := range placements {
		f.starts++
		f.schedule(testLatency, func() { vm.startAtBackend(p, placed[p.Ref]) })
	}
	vm.apply(vm.placer.Step(f.now, RequestSlots{}))
}

// startAtBackend starts a task at its backend server, or refuses it when all
// slots are in use.
func (vm *fleetVM) startAtBackend(p Placement, w TaskNeeds) {
	f := vm.fleet
	if f.used[p.Backend] >= 8 {
		f.refused++
		f.schedule(testLatency, func() {
			vm.waiting = append([]TaskNeeds{w}, vm.waiting...)
			vm.step(StartRefused{Backend: p.Backend, Ref: p.Ref, Reason: Full})
		})
		return
	}
	f.used[p.Backend]++
	d := vm.jobs[p.Ref.Submission].times[p.Ref.Index]
	f.schedule(d, func() {
		f.used[p.Backend]--
		f.schedule(testLatency, func() { vm.endTask(p, d) })
	})
}

func (vm *fleetVM) endTask(p Placement, d time.Duration) {
	j := vm.jobs[p.Ref.Submission]
	j.tasksLeft--
	if j.tasksLeft == 0 {
		ideal := j.longest + 2*testLatency
		vm.fleet.slowdowns = append(vm.fleet.slowdowns, float64(vm.fleet.now.Sub(j.arrived))/float64(ideal))
		delete(vm.jobs, p.Ref.Submission)
	}
	vm.step(TaskEnded{Backend: p.Backend, Ref: p.Ref, Succeeded: true, RunTime: d})
}

// offerLoad submits jobs to random VMs for the given time. On average, their
// tasks occupy the given share of all slots.
func (f *fleet) offerLoad(d time.Duration, load float64, maxTasks int, policy Policy, goal Goal) {
	const minTasks, minMillis, maxMillis = 10, 50, 1000
	meanWork := float64(minTasks+maxTasks) / 2 * (minMillis + maxMillis) / 2 / 1000
	rate := load * float64(8*len(f.backends)) / meanWork
	end := f.now.Add(d)
	n := 0
	var arrive func()
	arrive = func() {
		if f.now.After(end) {
			return
		}
		n++
		times := make([]time.Duration, minTasks+f.jobRand.IntN(maxTasks-minTasks+1))
		for i := range times {
			times[i] = time.Duration(minMillis+f.jobRand.IntN(maxMillis-minMillis+1)) * time.Millisecond
			if f.longTask > 0 && f.jobRand.IntN(50) == 0 {
				times[i] = f.longTask
			}
		}
		vm := f.vms[f.jobRand.IntN(len(f.vms))]
		if !vm.dead {
			vm.submit(fmt.Sprint("job", n), times, policy, goal)
		}
		f.schedule(time.Duration(f.jobRand.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	f.schedule(0, arrive)
}

func (f *fleet) quantile(q float64) float64 {
	if len(f.slowdowns) == 0 {
		return 0
	}
	sorted := slices.Clone(f.slowdowns)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// replace adds a new incarnation of a dead VM and updates the members of all VMs.
func (f *fleet) replace(killed *fleetVM) {
	for i := range f.members {
		if f.members[i] == killed.member {
			f.members[i].Member.Incarnation++
			f.addVM(f.members[i])
		}
	}
	for _, vm := range f.vms {
		vm.placer.SetMembers(f.now, f.members)
	}
}

// settle runs until all jobs have ended, for about a minute at most, and then
// until all loans must have been returned.
func (f *fleet) settle() {
	f.run(2 * time.Second)
	for range 120 {
		f.run(500 * time.Millisecond)
		if !slices.ContainsFunc(f.vms, func(vm *fleetVM) bool { return !vm.dead && len(vm.jobs) > 0 }) {
			break
		}
	}
	f.run(reportTimeout + grantTimeout)
}
