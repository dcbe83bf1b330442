package repeater

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// A world plays VMs, backend servers, links and callers against each other in
// virtual time, with faults, and checks what servers and callers see.
type world struct {
	rand    *rand.Rand
	cfg     worldConfig
	now     time.Time
	start   time.Time
	events  eventHeap
	seq     int
	vms     []*worldVM
	servers []*worldServer
	jobs    []*worldJob
	cut     map[[2]int]bool // directed links between VMs that lose everything
	trace   []string

	verbose    bool // the trace holds the decisions
	violations []string
}

// worldConfig says how large a world is and what happens in it.
type worldConfig struct {
	vms, servers int
	jobs         int
	faults       int // that are drawn
	lateOrders   float64
	lateLooks    float64
	lostAnswers  float64
	badRuns      float64
	longest      time.Duration // of a task; 0: the usual
	neighborhood int           // 0: the default
	defect       defect
}

const (
	worldLease    = time.Second
	worldResend   = 1300 * time.Millisecond
	worldPatience = 1500 * time.Millisecond // of callers, beyond three times the objective
	worldTick     = 40 * time.Millisecond
	worldPool     = identifier.PoolID("pool")
	worldCores    = identifier.Millicores(32000)
	worldStopTime = 50 * time.Millisecond
)

type worldEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []worldEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(worldEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newWorld(seed uint64, cfg worldConfig) *world {
	start := time.UnixMilli(1_700_000_000_000)
	w := &world{
		rand:  rand.New(rand.NewPCG(seed, 1)),
		cfg:   cfg,
		now:   start,
		start: start,
		cut:   make(map[[2]int]bool),
	}
	for i := range cfg.servers {
		w.servers = append(w.servers, newWorldServer(w, i))
	}
	for i := range cfg.vms {
		vm := &worldVM{w: w, index: i}
		w.vms = append(w.vms, vm)
		vm.boot()
	}
	for _, vm := range w.vms {
		vm.link()
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, worldEvent{at: w.now.Add(d), seq: w.seq, do: do})
}

// run plays until a time after the start.
func (w *world) run(length time.Duration) {
	end := w.start.Add(length)
	for w.events.Len() > 0 && len(w.violations) == 0 {
		e := heap.Pop(&w.events).(worldEvent)
		if e.at.After(end) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *world) violated(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

// between draws a duration.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Float64()*float64(most-least))
}

func (w *world) domain(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("domain-%d", i%3))
}

func (w *world) table() *router.Table {
	return &router.Table{Version: 1, Routes: []router.Route{worldRoute()}}
}

func worldRoute() router.Route {
	return router.Route{
		Name: "route", Host: "host", Prefix: "/", Pool: worldPool, MaxAttempts: 4, Slack: 1.6, Target: 60 * time.Millisecond,
	}
}

// serverList is what VMs know of the servers.
func (w *world) serverList() []Server {
	var list []Server
	for _, s := range w.servers {
		list = append(list, s.Server)
	}
	return list
}
