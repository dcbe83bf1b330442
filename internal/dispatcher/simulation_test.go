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
	simTick            = 5 * time.Millisecond
	settleTick         = 25 * time.Millisecond
	simVMsPerDomain    = 3
	simBackends        = 4
	simSlotsPerBackend = 3
	simDeadline        = 5 * time.Second
	stragglerOdds      = 30               // one task in this many outlasts its deadline
	settleTime         = 30 * time.Second // after the faults end; every request must be answered by then
)

var simDomains = []identifier.FailureDomain{"a", "b"}

// simVM is one entry VM. A paused VM handles no event until it is resumed.
type simVM struct {
	member  identifier.Member
	domain  identifier.FailureDomain
	machine *Machine
	paused  bool
	inbox   []Event // events that came while it was paused
}

// envelope is a message in transit.
type envelope struct {
	from, to identifier.Member
	data     []byte
	arrives  time.Time
}

// simulation connects several machines to each other by a simulated network, and
// to fake backend servers and clients.
type simulation struct {
	t            failer
	defects      defects
	rand         *rand.Rand
	now          time.Time
	vms          map[identifier.VMID]*simVM
	rosters      map[identifier.FailureDomain]*enroller.Roster
	links        map[[2]identifier.Member][]envelope // by sender and receiver, in order
	cut          map[[2]identifier.VMID]bool
	tasks        []*simTask
	usedSlots    map[identifier.BackendID]int
	starts       map[identifier.TaskRef]int
	clients      map[identifier.SubmissionID]*simClient
	openRequests map[simRequest]identifier.SubmissionID // requests without an answer
	lastRequest  RequestID
	faults       map[string]int // number of faults by kind
	tasksOf      map[identifier.SubmissionID]int
}

// failer ends a test with a failure.
type failer interface {
	Fatalf(format string, args ...any)
}

func newSimulation(t failer, seed uint64, defects defects) *simulation {
	s := &simulation{
		t:            t,
		defects:      defects,
		rand:         rand.New(rand.NewPCG(seed, 0)),
		now:          time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		vms:          map[identifier.VMID]*simVM{},
		rosters:      map[identifier.FailureDomain]*enroller.Roster{},
		links:        map[[2]identifier.Member][]envelope{},
		cut:          map[[2]identifier.VMID]bool{},
		usedSlots:    map[identifier.BackendID]int{},
		starts:       map[identifier.TaskRef]int{},
		clients:      map[identifier.SubmissionID]*simClient{},
		openRequests: map[simRequest]identifier.SubmissionID{},
		faults:       map[string]int{},
		tasksOf:      map[identifier.SubmissionID]int{},
	}
	for _, domain := range simDomains {
		var members []enroller.RosterMember
		for n := range simVMsPerDomain {
			vm := s.boot(identifier.VMID(fmt.Sprintf("%s%d", domain, n)), domain, 1)
			members = append(members, enroller.RosterMember{Member: vm.member, Address: "x"})
		}
		s.rosters[domain] = enroller.NewRoster(s.now, domain, members)
	}
	for _, name := range s.vmIDs() {
		s.connect(s.vms[name])
	}
	return s
}

func (s *simulation) boot(name identifier.VMID, domain identifier.FailureDomain, incarnation identifier.Incarnation) *simVM {
	vm := &simVM{
		member: identifier.Member{VM: name, Incarnation: incarnation},
		domain: domain,
		machine: New(Options{
			Self:           identifier.Member{VM: name, Incarnation: incarnation},
			Domain:         domain,
			Domains:        simDomains,
			Rand:           rand.New(rand.NewPCG(s.rand.Uint64(), 0)),
			MaxQueuedTasks: 1000,
			MaxRecords:     1000,
			Retention:      10 * time.Minute,
			ClockBound:     time.Second,
			Counters:       &Counters{},
			defects:        s.defects,
		}),
	}
	s.vms[name] = vm
	return vm
}

// connect gives a new VM its profiles, backend servers and roster, and links it to
// the other VMs.
func (s *simulation) connect(vm *simVM) {
	s.deliverEvent(vm, ProfilesAdopted{Profiles: simProfiles()})
	s.deliverEvent(vm, BackendsListed{Backends: simBackendList()})
	s.deliverEvent(vm, RosterAdopted{Roster: s.rosters[vm.domain]})
	for _, name := range s.vmIDs() {
		other := s.vms[name]
		if other == vm || s.cut[pairOf(vm, other)] {
			continue
		}
		s.deliverEvent(vm, PeerUp{Member: other.member, Domain: other.domain})
		s.deliverEvent(other, PeerUp{Member: vm.member, Domain: vm.domain})
	}
}

func simProfiles() map[identifier.ProfileName]profileparser.Profile {
	p := profileparser.Default()
	p.Name = "p"
	p.Deadline = simDeadline
	return map[identifier.ProfileName]profileparser.Profile{"p": p}
}

func (s *simulation) vmIDs() []identifier.VMID { return slices.Sorted(maps.Keys(s.vms)) }

func pairOf(a, b *simVM) [2]identifier.VMID {
	if a.member.VM < b.member.VM {
		return [2]identifier.VMID{a.member.VM, b.member.VM}
	}
	return [2]identifier.VMID{b.member.VM, a.member.VM}
}

// deliverEvent gives an event to a VM, or keeps it while the VM is paused.
func (s *simulation) deliverEvent(vm *simVM, e Event) {
	if vm.paused {
		vm.inbox = append(vm.inbox, e)
		return
	}
	for _, effect := range slices.Clone(vm.machine.Step(s.now, e)) {
		s.perform(vm, effect)
	}
}

func (s *simulation) perform(vm *simVM, effect Effect) {
	switch e := effect.(type) {
	case Send:
		s.send(vm, e)
	case StartTask:
		s.tasks = append(s.tasks, &simTask{
			vm:      vm.member,
			start:   e,
			arrives: s.now.Add(s.delay()),
			lost:    s.rand.IntN(40) == 0 && s.faults["calm"] == 0,
			fails:   s.rand.IntN(30) == 0,
		})
	case StopTasks:
		for _, ref := range e.Refs {
			s.stopTask(ref)
		}
	case Reply:
		s.checkReply(vm, e)
	}
}

func (s *simulation) delay() time.Duration {
	return time.Duration(s.rand.IntN(10)) * time.Millisecond
}

func (s *simulation) send(vm *simVM, e Send) {
	data, err := peermessenger.Encode(e.Message)
	if err != nil {
		s.t.Fatalf("encoding %T: %v", e.Message, err)
	}
	key := [2]identifier.Member{vm.member, e.To}
	s.links[key] = append(s.links[key], envelope{from: vm.member, to: e.To, data: data, arrives: s.now.Add(s.delay())})
}

// advance moves the clock on by one tick and does everything that is due.
func (s *simulation) advance(tick time.Duration) {
	s.now = s.now.Add(tick)
	s.deliver()
	s.runTasks()
	for _, name := range s.vmIDs() {
		if vm := s.vms[name]; !vm.paused {
			s.deliverEvent(vm, Tick{})
		}
	}
}

// deliver delivers the messages that have arrived, in the order of each link.
func (s *simulation) deliver() {
	keys := slices.SortedFunc(maps.Keys(s.links), func(a, b [2]identifier.Member) int {
		return cmp.Or(compareMembers(a[0], b[0]), compareMembers(a[1], b[1]))
	})
	for _, key := range keys {
		queue := s.links[key]
		n := 0
		for n < len(queue) && !queue[n].arrives.After(s.now) {
			n++
		}
		s.links[key] = queue[n:]
		if n == len(queue) {
			delete(s.links, key)
		}
		for _, e := range queue[:n] {
			s.receive(e)
		}
	}
}

func (s *simulation) receive(e envelope) {
	vm, ok := s.vms[e.to.VM]
	if !ok || vm.member != e.to {
		return
	}
	if from, ok := s.vms[e.from.VM]; ok && s.cut[pairOf(vm, from)] {
		return
	}
	m, err := peermessenger.Decode(e.data)
	if err != nil {
		s.t.Fatalf("decoding: %v", err)
	}
	s.deliverEvent(vm, PeerMessage{From: e.from, Message: m})
}
