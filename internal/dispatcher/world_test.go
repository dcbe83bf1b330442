package dispatcher

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const (
	worldTick     = 5 * time.Millisecond
	settleTick    = 25 * time.Millisecond
	worldVMs      = 3 // in each failure domain
	worldBackends = 4
	worldSlots    = 3
	worldDeadline = 5 * time.Second
	stragglerOdds = 30               // one task in so many
	settleTime    = 30 * time.Second // in which every request must be answered once faults stop
)

var worldDomains = []identifier.FailureDomain{"a", "b"}

// worldVM is one entry VM. A paused VM takes no event until it goes on.
type worldVM struct {
	member  identifier.Member
	domain  identifier.FailureDomain
	machine *Machine
	paused  bool
	inbox   []Event // what came while it was paused
}

// envelope is a message on its way.
type envelope struct {
	from, to identifier.Member
	data     []byte
	at       time.Time
}

// world joins several machines by a network, fake backend servers and clients.
type world struct {
	t       failer
	defects defects
	rand    *rand.Rand
	now     time.Time
	vms     map[identifier.VMID]*worldVM
	rosters map[identifier.FailureDomain]*enroller.Roster
	links   map[[2]identifier.Member][]envelope // by sender and receiver, in order
	cut     map[[2]identifier.VMID]bool
	tasks   []*worldTask
	used    map[identifier.BackendID]int
	starts  map[identifier.TaskRef]int
	clients map[identifier.SubmissionID]*worldClient
	asked   map[worldRequest]identifier.SubmissionID // requests without an answer
	last    RequestID
	faults  map[string]int // kinds of fault reached
	tasksOf map[identifier.SubmissionID]int
}

// failer ends a test.
type failer interface {
	Fatalf(format string, args ...any)
}

func newWorld(t failer, seed uint64, defects defects) *world {
	w := &world{
		t:       t,
		defects: defects,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		vms:     map[identifier.VMID]*worldVM{},
		rosters: map[identifier.FailureDomain]*enroller.Roster{},
		links:   map[[2]identifier.Member][]envelope{},
		cut:     map[[2]identifier.VMID]bool{},
		used:    map[identifier.BackendID]int{},
		starts:  map[identifier.TaskRef]int{},
		clients: map[identifier.SubmissionID]*worldClient{},
		asked:   map[worldRequest]identifier.SubmissionID{},
		faults:  map[string]int{},
		tasksOf: map[identifier.SubmissionID]int{},
	}
	for _, domain := range worldDomains {
		var members []enroller.RosterMember
		for n := range worldVMs {
			vm := w.boot(identifier.VMID(fmt.Sprintf("%s%d", domain, n)), domain, 1)
			members = append(members, enroller.RosterMember{Member: vm.member, Address: "x"})
		}
		w.rosters[domain] = enroller.NewRoster(w.now, domain, members)
	}
	for _, name := range w.names() {
		w.join(w.vms[name])
	}
	return w
}

func (w *world) boot(name identifier.VMID, domain identifier.FailureDomain, incarnation identifier.Incarnation) *worldVM {
	vm := &worldVM{
		member: identifier.Member{VM: name, Incarnation: incarnation},
		domain: domain,
		machine: New(Options{
			Self:           identifier.Member{VM: name, Incarnation: incarnation},
			Domain:         domain,
			Domains:        worldDomains,
			Rand:           rand.New(rand.NewPCG(w.rand.Uint64(), 0)),
			MaxQueuedTasks: 1000,
			MaxRecords:     1000,
			Retention:      10 * time.Minute,
			ClockBound:     time.Second,
			Counters:       &Counters{},
			defects:        w.defects,
		}),
	}
	w.vms[name] = vm
	return vm
}

// join tells a fresh VM of the world, and the others of it.
func (w *world) join(vm *worldVM) {
	w.give(vm, ProfilesAdopted{Profiles: worldProfiles()})
	w.give(vm, BackendsListed{Backends: worldBackendList()})
	w.give(vm, RosterAdopted{Roster: w.rosters[vm.domain]})
	for _, name := range w.names() {
		other := w.vms[name]
		if other == vm || w.cut[pairOf(vm, other)] {
			continue
		}
		w.give(vm, PeerUp{Member: other.member, Domain: other.domain})
		w.give(other, PeerUp{Member: vm.member, Domain: vm.domain})
	}
}

func worldProfiles() map[identifier.ProfileName]profileparser.Profile {
	p := profileparser.Default()
	p.Name = "p"
	p.Deadline = worldDeadline
	return map[identifier.ProfileName]profileparser.Profile{"p": p}
}

func (w *world) names() []identifier.VMID { return slices.Sorted(maps.Keys(w.vms)) }

func pairOf(a, b *worldVM) [2]identifier.VMID {
	if a.member.VM < b.member.VM {
		return [2]identifier.VMID{a.member.VM, b.member.VM}
	}
	return [2]identifier.VMID{b.member.VM, a.member.VM}
}

// give hands an event to a VM, or keeps it while the VM is paused.
func (w *world) give(vm *worldVM, e Event) {
	if vm.paused {
		vm.inbox = append(vm.inbox, e)
		return
	}
	for _, effect := range slices.Clone(vm.machine.Step(w.now, e)) {
		w.perform(vm, effect)
	}
}

func (w *world) perform(vm *worldVM, effect Effect) {
	switch e := effect.(type) {
	case Send:
		w.send(vm, e)
	case StartTask:
		w.tasks = append(w.tasks, &worldTask{
			vm:      vm.member,
			start:   e,
			arrives: w.now.Add(w.delay()),
			lost:    w.rand.IntN(40) == 0 && w.faults["calm"] == 0,
			fails:   w.rand.IntN(30) == 0,
		})
	case StopTasks:
		for _, ref := range e.Refs {
			w.stop(ref)
		}
	case Reply:
		w.replied(vm, e)
	}
}

func (w *world) delay() time.Duration {
	return time.Duration(w.rand.IntN(10)) * time.Millisecond
}

func (w *world) send(vm *worldVM, e Send) {
	data, err := peermessenger.Encode(e.Message)
	if err != nil {
		w.t.Fatalf("encoding %T: %v", e.Message, err)
	}
	key := [2]identifier.Member{vm.member, e.To}
	w.links[key] = append(w.links[key], envelope{from: vm.member, to: e.To, data: data, at: w.now.Add(w.delay())})
}

// advance lets time pass by one tick.
func (w *world) advance(tick time.Duration) {
	w.now = w.now.Add(tick)
	w.deliver()
	w.runTasks()
	for _, name := range w.names() {
		if vm := w.vms[name]; !vm.paused {
			w.give(vm, Tick{})
		}
	}
}

// deliver delivers the messages that have arrived, in the order of each link.
func (w *world) deliver() {
	keys := slices.SortedFunc(maps.Keys(w.links), func(a, b [2]identifier.Member) int {
		return cmp.Or(compareMembers(a[0], b[0]), compareMembers(a[1], b[1]))
	})
	for _, key := range keys {
		queue := w.links[key]
		n := 0
		for n < len(queue) && !queue[n].at.After(w.now) {
			n++
		}
		w.links[key] = queue[n:]
		if n == len(queue) {
			delete(w.links, key)
		}
		for _, e := range queue[:n] {
			w.arrive(e)
		}
	}
}

func (w *world) arrive(e envelope) {
	vm, ok := w.vms[e.to.VM]
	if !ok || vm.member != e.to {
		return
	}
	if from, ok := w.vms[e.from.VM]; ok && w.cut[pairOf(vm, from)] {
		return
	}
	m, err := peermessenger.Decode(e.data)
	if err != nil {
		w.t.Fatalf("decoding: %v", err)
	}
	w.give(vm, PeerReceived{From: e.from, Message: m})
}
