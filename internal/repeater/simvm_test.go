package repeater

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// simVM is an entry VM and the process that runs on it.
type simVM struct {
	sim        *simulation
	index      int
	process    int // increases when a process starts or is killed
	machine    *Machine
	member     identifier.Member
	paused     bool
	heldEvents []Event // that arrived while paused
	lastStepAt time.Time
	requests   map[RequestID]*simAttempt
	routes     simVMRoutes
	keeps      KeepLinks

	lastReportFrom identifier.Member // sender of lastReport
	lastReport     peermessenger.LoadReport
	sentReports    int // number of load reports sent
	lastRequest    RequestID
}

// boot starts a process.
func (vm *simVM) boot() {
	sim := vm.sim
	vm.process++
	vm.member = identifier.Member{
		VM:          vmID(vm.index),
		Incarnation: identifier.Incarnation(sim.now.UnixMilli()),
	}
	opts := Options{Self: vm.member, Domain: sim.domain(vm.index), Weight: simWeight, Bounds: Bounds{
		LongestLease: simLease, ResendDelay: simResendDelay,
	}, MaxNeighborhood: sim.cfg.neighborhood, MaxFarContacts: sim.cfg.farContacts, ReturnTasks: sim.sharesRoom, LateTasksLast: sim.sharesRoom, defects: sim.cfg.defect.machineDefects()}
	if sim.cfg.options != nil {
		sim.cfg.options(&opts)
	}
	vm.machine = New(sim.now, opts)
	vm.lastStepAt = sim.now
	vm.requests = make(map[RequestID]*simAttempt)
	vm.keeps = KeepLinks{All: true}
	vm.routes = simVMRoutes{open: make(map[RequestID]time.Time)}
	vm.step(RoutesChanged{Table: sim.routes.table()})
	vm.step(ServersChanged{Revision: sim.serversRevision, Servers: sim.serverList()})
	vm.step(VMsListed{VMs: sim.listedVMs()})
	if sim.evacuations != nil {
		sim.evacuations.boot(vm)
	}
	if sim.cfg.unguarded {
		vm.step(ServersConfirmed{AsOf: sim.now})
		vm.confirmServers(vm.process)
	}
	vm.tick(vm.process)
}

func (sim *simulation) listedVMs() (vms []ListedVM) {
	for i := range sim.cfg.vms {
		vms = append(vms, ListedVM{ID: vmID(i), Domain: sim.domain(i), Weight: simWeight})
	}
	return vms
}

func vmID(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("vm-%d", i)) }

// linkAll connects the process with all others, in both directions.
func (vm *simVM) linkAll() {
	for _, other := range vm.sim.vms {
		if other == vm || other.machine == nil {
			continue
		}
		vm.connect(other)
		other.connect(vm)
	}
}

// connect opens the link from one process to another.
func (vm *simVM) connect(to *simVM) {
	if vm.machine == nil || to.machine == nil || vm.sim.cut[[2]int{vm.index, to.index}] {
		return
	}
	delete(vm.sim.dropped, [2]int{vm.index, to.index})
	vm.step(PeerLinked{Peer: to.member, Domain: vm.sim.domain(to.index)})
}

func (vm *simVM) tick(process int) {
	vm.sim.schedule(simTick, func() {
		if vm.process != process || vm.machine == nil {
			return
		}
		vm.step(Ticked{})
		if vm.sim.cfg.defect == replayReports {
			vm.replayLastReports()
		}
		vm.tick(process)
	})
}

// kill ends the process at once.
func (vm *simVM) kill() {
	if vm.machine == nil {
		return
	}
	vm.sim.tracef("vm-%d is killed", vm.index)
	vm.machine = nil
	vm.process++
	vm.paused, vm.heldEvents = false, nil
	for id := RequestID(1); id <= vm.lastRequest; id++ {
		if a := vm.requests[id]; a != nil {
			a.endUnanswered()
			delete(vm.requests, id)
		}
	}
	for _, other := range vm.sim.vms {
		if other.machine != nil && vm.sim.chance(0.5) { // otherwise the peer notices only the silence
			other.step(PeerUnlinked{Peer: vm.member})
		}
	}
}

// step hands an event to the process, or holds it while the VM is paused.
func (vm *simVM) step(e Event) {
	if vm.machine == nil {
		return
	}
	if vm.paused {
		if _, ok := e.(Ticked); !ok {
			vm.heldEvents = append(vm.heldEvents, e)
		}
		return
	}
	if e, ok := e.(RouteRequested); ok && vm.sim.cfg.defect == routeAheadOfEvents {
		vm.sim.routes.checkDecision(vm, RouteReply{Request: e.Request, Decision: NoRoute{Version: vm.machine.routes.Version}})
		return
	}
	gap := vm.sim.now.Sub(vm.lastStepAt)
	vm.lastStepAt = vm.sim.now
	if gap > simPauseThreshold && vm.sim.cfg.defect != ignorePause {
		vm.execute(vm.machine.Step(vm.sim.now, Resumed{Gap: gap}))
	}
	if vm.machine != nil {
		vm.execute(vm.machine.Step(vm.sim.now, e))
	}
}

// pause stops the process for a while.
func (vm *simVM) pause(d time.Duration) {
	if vm.machine == nil || vm.paused {
		return
	}
	vm.sim.tracef("vm-%d is paused for %v", vm.index, d)
	vm.paused = true
	process := vm.process
	vm.sim.schedule(d, func() {
		if vm.process != process {
			return
		}
		if vm.sim.evacuations != nil {
			vm.sim.evacuations.troubled[vm.index] = vm.sim.now
		}
		vm.sim.tracef("vm-%d resumes", vm.index)
		vm.paused = false
		held := vm.sim.routes.shuffleHeld(vm, vm.heldEvents)
		vm.heldEvents = nil
		for _, e := range held {
			vm.step(e)
		}
		vm.step(Ticked{})
	})
}

// execute carries out effects. It copies them first, since carrying one out may
// step the machine again.
func (vm *simVM) execute(effects []Effect) {
	for _, e := range append([]Effect(nil), effects...) {
		switch e := e.(type) {
		case Reply:
			if a := vm.requests[e.Request]; a != nil {
				delete(vm.requests, e.Request)
				a.handleAnswer(e.Outcome)
			}
		case RouteReply:
			vm.sim.routes.checkDecision(vm, e)
		case ReadRoutes:
			vm.sim.routes.read(vm)
		case SendMessage:
			vm.send(e.To, e.Message)
		case Broadcast:
			vm.sentReports += len(e.To)
			for _, to := range e.To {
				vm.send(to, e.Message)
			}
		case StartRun:
			vm.sim.callStart(vm, e)
		case StopRun:
			vm.sim.callStop(vm, e)
		case Poll:
			if vm.sim.cfg.defect == extendOnFirstPoll {
				e.Expires = farFutureExpiry
			}
			vm.sim.callPoll(vm, e)
		case LogDecision:
			if e.Decision == "serverSuspended" {
				vm.sim.suspensions++
			}
			if vm.sim.verbose {
				vm.sim.tracef("  vm-%d %s %v", vm.index, e.Decision, e.Fields)
			}
		case KeepLinks:
			vm.keepLinks(e)
		case Drained:
		}
	}
}

// send delivers a message after a delay, unless the link is cut or the
// receiving process was replaced.
func (vm *simVM) send(receiver identifier.Member, msg peermessenger.Message) {
	sim := vm.sim
	if sim.dropsMessage(msg) {
		return
	}
	if r, ok := msg.(peermessenger.LoadReport); ok {
		vm.lastReportFrom, vm.lastReport = vm.member, r
	}
	data, err := peermessenger.Encode(msg)
	if err != nil {
		sim.recordViolation("encoding a message: %v", err)
		return
	}
	from, domain := vm.member, sim.domain(vm.index)
	for _, to := range sim.vms {
		if to.machine == nil || to.member != receiver {
			continue
		}
		deliver := func() {
			if to.machine == nil || to.member != receiver {
				return
			}
			msg, err := peermessenger.Decode(data)
			if err != nil {
				sim.recordViolation("decoding a message: %v", err)
				return
			}
			to.step(PeerMessage{From: from, Domain: domain, Message: msg})
		}
		link := [2]int{vm.index, to.index}
		switch h := sim.held[link]; {
		case sim.dropped[link]:
		case h != nil:
			h.messages = append(h.messages, deliver)
		case !sim.cut[link]:
			sim.schedule(sim.randomDuration(200*time.Microsecond, 2*time.Millisecond), deliver)
		}
	}
}
