package repeater

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

const (
	// simSendSkew is the least time between two requests of which the second must not be
	// decided by older routes than the first.
	simSendSkew = 250 * time.Millisecond
	// simWatchTimeout is when a VM reads the routes again after a lost answer of a watch.
	simWatchTimeout = 1400 * time.Millisecond
	// simPauseThreshold is the gap between two steps above which a VM counts as paused.
	simPauseThreshold = 180 * time.Millisecond
)

// simRoutes is the routing table in the store, which the operator changes and VMs
// follow. It draws from a source of its own, so that histories without changes stay
// the same.
type simRoutes struct {
	sim     *simulation
	rand    *rand.Rand
	version router.Version
}

// simRouteRequest is a request whose route a VM decides.
type simRouteRequest struct {
	sentAt  time.Time
	version router.Version // that decided it
}

// simVMRoutes is what the simulation knows of one process and the routes.
type simVMRoutes struct {
	open        map[RequestID]time.Time // when the requests were sent
	lastRequest RequestID
	decided     []simRouteRequest
	required    router.Version // the least one that may decide a request from now on
}

func newSimRoutes(sim *simulation, seed uint64) *simRoutes {
	return &simRoutes{sim: sim, rand: rand.New(rand.NewPCG(seed, 2)), version: 1}
}

func (r *simRoutes) table() *router.Table {
	t := &router.Table{Version: r.version, Routes: []router.Route{simRoute()}}
	if len(r.sim.cfg.routes) > 0 {
		t.Routes = r.sim.cfg.routes
	}
	if r.sim.cfg.unguarded {
		t.Unguarded = []identifier.PoolID{simPool}
	}
	return t
}

func (r *simRoutes) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rand.Float64()*float64(most-least))
}

// schedule schedules the configured changes and requests, and pauses among them.
func (r *simRoutes) schedule(length time.Duration) {
	for range r.sim.cfg.routeChanges {
		r.sim.schedule(r.randomDuration(time.Second, length), r.change)
		r.sim.schedule(r.randomDuration(time.Second, length), func() {
			vm := r.sim.vms[r.rand.IntN(len(r.sim.vms))]
			vm.pause(r.randomDuration(150*time.Millisecond, 4*time.Second))
		})
	}
	for range r.sim.cfg.routeRequests {
		r.sim.schedule(r.randomDuration(time.Second, length), func() {
			r.send(r.sim.vms[r.rand.IntN(len(r.sim.vms))])
		})
	}
}

// change puts a later table into the store. The answers of some watches get lost.
func (r *simRoutes) change() {
	r.version += router.Version(1 + r.rand.IntN(3))
	r.sim.tracef("the routes change to version %d", r.version)
	for _, vm := range r.sim.vms {
		d := r.randomDuration(time.Millisecond, 10*time.Millisecond)
		if r.rand.Float64() < 0.2 {
			d = simWatchTimeout
		}
		r.deliver(vm, d)
	}
}

// deliver delivers the table to a VM after a delay, with the time of the read that gave
// it.
func (r *simRoutes) deliver(vm *simVM, d time.Duration) {
	process, table, asOf := vm.process, r.table(), r.sim.now
	r.sim.schedule(d, func() {
		if vm.process == process {
			vm.step(RoutesChanged{Table: table})
			vm.step(RoutesConfirmed{AsOf: asOf})
		}
	})
}

// read carries out a ReadRoutes of a VM. A store that doesn't answer in time requires
// no version of the VM.
func (r *simRoutes) read(vm *simVM) {
	d := 5 * time.Millisecond
	if r.sim.cfg.routeChanges > 0 {
		d = r.randomDuration(2*time.Millisecond, 450*time.Millisecond)
		if r.rand.Float64() < 0.1 {
			d = 2 * time.Second
		}
	}
	vm.routes.required = 0
	if d < routesCheckTime {
		vm.routes.required = r.version
	}
	r.deliver(vm, d)
}

// send sends a request to a VM.
func (r *simRoutes) send(vm *simVM) {
	if vm.machine == nil {
		return
	}
	vm.routes.lastRequest++
	vm.routes.open[vm.routes.lastRequest] = r.sim.now
	vm.step(RouteRequested{Request: vm.routes.lastRequest, Host: "host", Path: "/"})
}

// shuffleHeld puts what a paused VM has to handle about routes in any order, as the
// goroutines of a process that resumes run. The answers of some watches get lost.
func (r *simRoutes) shuffleHeld(vm *simVM, held []Event) []Event {
	if r.sim.cfg.routeChanges == 0 {
		return held
	}
	var routes [][]Event // what one goroutine posts stays in order
	var others []Event
	lost, kept := false, false // answers of reads that began after the latest long pause
	for _, e := range held {
		switch e := e.(type) {
		case RoutesChanged:
			routes = append(routes, []Event{e})
		case RoutesConfirmed: // follows the change that it confirms
			fresh := !e.AsOf.Before(vm.machine.resumedAt)
			if r.rand.Float64() < 0.5 {
				lost = lost || fresh
				routes = routes[:len(routes)-1]
				r.deliver(vm, simWatchTimeout)
				continue
			}
			kept = kept || fresh
			routes[len(routes)-1] = append(routes[len(routes)-1], e)
		case RouteRequested:
			routes = append(routes, []Event{e})
		default:
			others = append(others, e)
		}
	}
	if lost && !kept {
		vm.routes.required = 0 // as for a store that doesn't answer in time
	}
	r.rand.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	return append(slices.Concat(routes...), others...)
}

// checkDecision checks that a VM that was paused has the routes which the store had
// when it resumed, and that no VM goes back to older routes.
func (r *simRoutes) checkDecision(vm *simVM, e RouteReply) {
	sentAt, ok := vm.routes.open[e.Request]
	if !ok {
		r.sim.recordViolation("vm-%d decided a request twice", vm.index)
		return
	}
	delete(vm.routes.open, e.Request)
	var version router.Version
	switch d := e.Decision.(type) {
	case Routed:
		version = d.Version
	case NoRoute:
		version = d.Version
	case Refused:
		return
	}
	if version < vm.routes.required {
		r.sim.recordViolation("vm-%d decided by version %d after it resumed while the store had %d", vm.index, version, vm.routes.required)
	}
	for _, d := range vm.routes.decided {
		later, earlier := simRouteRequest{sentAt, version}, d
		if d.sentAt.After(sentAt) {
			later, earlier = earlier, later
		}
		if later.version < earlier.version && later.sentAt.Sub(earlier.sentAt) > simSendSkew {
			r.sim.recordViolation("vm-%d went back from version %d to %d", vm.index, earlier.version, later.version)
		}
	}
	vm.routes.decided = append(vm.routes.decided, simRouteRequest{sentAt, version})
}
