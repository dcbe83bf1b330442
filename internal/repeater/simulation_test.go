package repeater

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// simulation runs VMs, backend servers, links and callers in virtual time, with
// faults, and checks what servers and callers see.
type simulation struct {
	rand      *rand.Rand
	cfg       simConfig
	now       time.Time
	start     time.Time
	events    eventHeap
	lastEvent int
	vms       []*simVM
	servers   []*simServer
	jobs      []*simJob
	jobsByID  map[identifier.SubmissionID]*simJob // filled as they are looked up
	routes    *simRoutes
	held      map[[2]int]*heldLink
	cut       map[[2]int]bool // directed links between VMs that lose all messages
	dropped   map[[2]int]bool // directed links between VMs that were given up
	trace     []string

	verbose     bool // the trace contains the decisions
	violations  []string
	crashes     int // of servers
	suspensions int

	serversRevision uint64
	sharesRoom      bool            // the VMs return tasks without room, and start late ones last: in every second history
	evacuations     *simEvacuations // nil: there are none
	cutFromStore    map[int]bool    // VMs
	lostTwice       int             // crashes of servers with a task that crashes none and was lost so before
}

// simConfig sets the size of a simulation and what happens in it.
type simConfig struct {
	vms, servers int
	jobs         int
	faults       int // number of random faults
	lateCalls    float64
	latePolls    float64
	lostAnswers  float64
	failedRuns   float64
	maxRunTime   time.Duration // of a task; 0 selects the default
	neighborhood int           // 0 selects the default
	farContacts  int           // 0 selects the default

	routeChanges  int // of the operator, and pauses among them
	routeRequests int // whose route is decided

	options       func(*Options)                  // changes the options of the VMs; nil: none
	routes        []router.Route                  // of the callers; none: one
	disturbance   func(route, beside int) float64 // factor on the run time of a task that starts beside one of another route; nil: none
	evacuations   bool                            // failure domains may be evacuated
	unguarded     bool                            // servers start what they are told to, also beyond their capacity
	silentCrashes bool                            // crashed servers are silent instead of refusing connections

	linksHold time.Duration // links hold the messages of a cut up to this time; 0: they lose them
	defect    defect
}

const (
	simLease       = time.Second
	simResendDelay = 1300 * time.Millisecond
	simPatience    = 1500 * time.Millisecond // how long callers wait beyond three times the objective
	simWeight      = 400
	simTick        = 40 * time.Millisecond
	simPool        = identifier.PoolID("pool")
	simCores       = identifier.Millicores(32000)
	simMaxStopTime = 50 * time.Millisecond
	simRefusalTime = 300 * time.Microsecond // until a connection is refused
	simCrashDelay  = 12 * time.Millisecond  // from the start of a task that crashes its server
)

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newSimulation(seed uint64, cfg simConfig) *simulation {
	start := time.UnixMilli(1_700_000_000_000)
	sim := &simulation{
		rand:  rand.New(rand.NewPCG(seed, 1)),
		cfg:   cfg,
		now:   start,
		start: start,
		cut:   make(map[[2]int]bool),
		held:  make(map[[2]int]*heldLink),

		dropped: make(map[[2]int]bool),

		serversRevision: 1,
		sharesRoom:      seed%2 == 1,
		cutFromStore:    make(map[int]bool),
	}
	sim.routes = newSimRoutes(sim, seed)
	if cfg.evacuations {
		sim.evacuations = &simEvacuations{sim: sim, since: make(map[identifier.FailureDomain]time.Time), troubled: make(map[int]time.Time)}
	}
	for i := range cfg.servers {
		sim.servers = append(sim.servers, newSimServer(sim, i))
	}
	for i := range cfg.vms {
		vm := &simVM{sim: sim, index: i}
		sim.vms = append(sim.vms, vm)
		vm.boot()
	}
	for _, vm := range sim.vms {
		vm.linkAll()
	}
	return sim
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.lastEvent++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(d), number: sim.lastEvent, do: do})
}

// run simulates until length after the start.
func (sim *simulation) run(length time.Duration) {
	end := sim.start.Add(length)
	for sim.events.Len() > 0 && len(sim.violations) == 0 {
		e := heap.Pop(&sim.events).(simEvent)
		if e.at.After(end) {
			return
		}
		sim.now = e.at
		e.do()
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%8.3f ", sim.now.Sub(sim.start).Seconds())+fmt.Sprintf(format, args...))
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8.3f ", sim.now.Sub(sim.start).Seconds())+fmt.Sprintf(format, args...))
}

func (sim *simulation) chance(p float64) bool { return sim.rand.Float64() < p }

// randomDuration returns a random duration between two bounds.
func (sim *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rand.Float64()*float64(most-least))
}

func (sim *simulation) domain(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("domain-%d", i%3))
}

func simRoute() router.Route {
	return router.Route{
		Name: "route", Host: "host", Prefix: "/", Pool: simPool, MaxAttempts: 4, Slack: 1.6, Target: 60 * time.Millisecond,
	}
}

// serverList returns the backend servers as VMs know them.
func (sim *simulation) serverList() []Server {
	var list []Server
	for _, s := range sim.servers {
		list = append(list, s.Server)
	}
	return list
}
