package repeater

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// worldVM is an entry VM, with the process that runs there.
type worldVM struct {
	w        *world
	index    int
	life     int // grows with each process
	machine  *Machine
	member   identifier.Member
	frozen   bool
	waiting  []Event // while frozen
	lastTurn time.Time
	requests map[RequestID]*worldAttempt

	reporter   identifier.Member // of lastReport
	lastReport peermessenger.LoadReport
	reports    int // sent
	lastReq    RequestID
}

// boot starts a process.
func (vm *worldVM) boot() {
	w := vm.w
	vm.life++
	vm.member = identifier.Member{
		VM:          vmID(vm.index),
		Incarnation: identifier.Incarnation(w.now.UnixMilli()),
	}
	vm.machine = New(w.now, Options{Self: vm.member, Domain: w.domain(vm.index), Weight: 400, Bounds: Bounds{
		LongestLease: worldLease, ResendDelay: worldResend,
	}, Neighborhood: w.cfg.neighborhood, defects: w.cfg.defect.defects()})
	vm.lastTurn = w.now
	vm.requests = make(map[RequestID]*worldAttempt)
	vm.step(RoutesChanged{Table: w.table()})
	vm.step(ServersChanged{Revision: 1, Servers: w.serverList()})
	vm.step(VMsListed{VMs: w.vmIDs()})
	vm.tick(vm.life)
}

func (w *world) vmIDs() (ids []identifier.VMID) {
	for i := range w.cfg.vms {
		ids = append(ids, vmID(i))
	}
	return ids
}

func vmID(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("vm-%d", i)) }

// link connects the process with all others, both ways.
func (vm *worldVM) link() {
	for _, other := range vm.w.vms {
		if other == vm || other.machine == nil {
			continue
		}
		vm.connect(other)
		other.connect(vm)
	}
}

// connect opens the link from one process to another.
func (vm *worldVM) connect(to *worldVM) {
	if vm.machine == nil || to.machine == nil || vm.w.cut[[2]int{vm.index, to.index}] {
		return
	}
	vm.step(PeerLinked{Peer: to.member, Domain: vm.w.domain(to.index)})
}

func (vm *worldVM) tick(life int) {
	vm.w.after(worldTick, func() {
		if vm.life != life || vm.machine == nil {
			return
		}
		vm.step(Ticked{})
		if vm.w.cfg.defect == hearsTheDead {
			vm.haunt()
		}
		vm.tick(life)
	})
}

// kill ends the process at once.
func (vm *worldVM) kill() {
	if vm.machine == nil {
		return
	}
	vm.w.note("vm-%d is killed", vm.index)
	vm.machine = nil
	vm.life++
	vm.frozen, vm.waiting = false, nil
	for id := RequestID(1); id <= vm.lastReq; id++ {
		if a := vm.requests[id]; a != nil {
			a.broken()
			delete(vm.requests, id)
		}
	}
	for _, other := range vm.w.vms {
		if other.machine != nil && vm.w.chance(0.5) { // else it is silence that shows
			other.step(PeerUnlinked{Peer: vm.member})
		}
	}
}

// step hands an event to the process, or keeps it while the VM is frozen.
func (vm *worldVM) step(e Event) {
	if vm.machine == nil {
		return
	}
	if vm.frozen {
		if _, ok := e.(Ticked); !ok {
			vm.waiting = append(vm.waiting, e)
		}
		return
	}
	gap := vm.w.now.Sub(vm.lastTurn)
	vm.lastTurn = vm.w.now
	if gap > 180*time.Millisecond && vm.w.cfg.defect != wakesUnaware {
		vm.execute(vm.machine.Step(vm.w.now, Woken{Gap: gap}))
	}
	if vm.machine != nil {
		vm.execute(vm.machine.Step(vm.w.now, e))
	}
}

// freeze stops the process for a while.
func (vm *worldVM) freeze(d time.Duration) {
	if vm.machine == nil || vm.frozen {
		return
	}
	vm.w.note("vm-%d freezes for %v", vm.index, d)
	vm.frozen = true
	life := vm.life
	vm.w.after(d, func() {
		if vm.life != life {
			return
		}
		vm.w.note("vm-%d wakes", vm.index)
		vm.frozen = false
		waiting := vm.waiting
		vm.waiting = nil
		for _, e := range waiting {
			vm.step(e)
		}
		vm.step(Ticked{})
	})
}

// execute carries out effects. They are copied, since carrying one out may step
// the machine again.
func (vm *worldVM) execute(effects []Effect) {
	for _, e := range append([]Effect(nil), effects...) {
		switch e := e.(type) {
		case Reply:
			if a := vm.requests[e.Request]; a != nil {
				delete(vm.requests, e.Request)
				a.answered(e.Outcome)
			}
		case SendMessage:
			vm.send(e.To, e.Message)
		case Broadcast:
			vm.reports += len(e.To)
			for _, to := range e.To {
				vm.send(to, e.Message)
			}
		case StartRun:
			vm.w.orderStart(vm, e)
		case StopRun:
			vm.w.orderStop(vm, e)
		case Look:
			if vm.w.cfg.defect == extendsAtOnce {
				e.Expires = lateExpiry
			}
			vm.w.orderLook(vm, e)
		case Record:
			if vm.w.verbose {
				vm.w.note("  vm-%d %s %v", vm.index, e.Decision, e.Fields)
			}
		case Drained:
		}
	}
}

// send delivers a message after a while, unless the link is cut or the process
// was replaced.
func (vm *worldVM) send(receiver identifier.Member, msg peermessenger.Message) {
	w := vm.w
	if w.keepsBack(msg) {
		return
	}
	if r, ok := msg.(peermessenger.LoadReport); ok {
		vm.reporter, vm.lastReport = vm.member, r
	}
	data, err := peermessenger.Encode(msg)
	if err != nil {
		w.violated("a message can't be encoded: %v", err)
		return
	}
	from, domain := vm.member, w.domain(vm.index)
	for _, to := range w.vms {
		if to.machine == nil || to.member != receiver || w.cut[[2]int{vm.index, to.index}] {
			continue
		}
		w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() {
			if to.machine == nil || to.member != receiver {
				return
			}
			msg, err := peermessenger.Decode(data)
			if err != nil {
				w.violated("a message can't be decoded: %v", err)
				return
			}
			to.step(PeerMessage{From: from, Domain: domain, Message: msg})
		})
	}
}
