package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// simCapacityGrace is how long starts may still fill a capacity that a server has
	// reduced: the contact time of the users' platform and a heartbeat.
	simCapacityGrace = 4500 * time.Millisecond
	// simReportDelay is the longest time until a VM reads a change from the store.
	simReportDelay = 600 * time.Millisecond
	// simConfirmInterval is how often a VM that reaches the store reads it without a change.
	simConfirmInterval = time.Second
)

// simCapacity is a capacity that a server has reported.
type simCapacity struct {
	cores identifier.Millicores
	until time.Time // when it reported another one
}

// changeCapacity makes a server report another capacity.
func (s *simServer) changeCapacity(cores identifier.Millicores) {
	if cores == s.Cores {
		return
	}
	s.earlierCapacities = append(s.earlierCapacities, simCapacity{cores: s.Cores, until: s.sim.now})
	s.Cores = cores
	s.sim.publishServers()
}

// publishServers lets all VMs that reach the store read the list of servers.
func (sim *simulation) publishServers() {
	sim.serversRevision++
	revision, list := sim.serversRevision, sim.serverList()
	for _, vm := range sim.vms {
		process := vm.process
		sim.schedule(sim.randomDuration(0, simReportDelay), func() {
			if vm.process == process && !sim.cutFromStore[vm.index] {
				vm.step(ServersChanged{Revision: revision, Servers: list})
			}
		})
	}
}

// confirmServers lets a VM read the list of servers now and then, unless it is cut off
// from the store.
func (vm *simVM) confirmServers(process int) {
	sim := vm.sim
	sim.schedule(simConfirmInterval, func() {
		if vm.process != process || vm.machine == nil {
			return
		}
		if !sim.cutFromStore[vm.index] {
			vm.step(ServersChanged{Revision: sim.serversRevision, Servers: sim.serverList()})
			vm.step(ServersConfirmed{AsOf: sim.now})
		}
		vm.confirmServers(process)
	})
}

// checkCapacity checks that a start doesn't bring a server over a capacity that it has
// reported, beyond the grace for a reduced one.
func (s *simServer) checkCapacity() {
	allowed := s.Cores
	for _, c := range s.earlierCapacities {
		if s.sim.now.Sub(c.until) <= simCapacityGrace {
			allowed = max(allowed, c.cores)
		}
	}
	used := identifier.Millicores(0)
	for _, r := range s.runs {
		used += r.cores
	}
	if used > allowed {
		s.sim.recordViolation("%s is told to run %d millicores of %d", s.ID, used, allowed)
	}
}

// injectCapacityChange changes the capacity of a server, now and then by a restart.
func (sim *simulation) injectCapacityChange() {
	s := sim.randomServer()
	cores := identifier.Millicores(8000 + 8000*sim.rand.IntN(4))
	if s.down || !sim.chance(0.3) {
		sim.tracef("%s reports %d millicores", s.ID, cores)
		s.changeCapacity(cores)
		return
	}
	sim.tracef("%s restarts with %d millicores", s.ID, cores)
	s.restart()
	s.Cores = cores
}

// register makes a new process of the server write its entry a little later.
func (s *simServer) register() {
	s.Generation = s.clock().Generation
	delay := s.sim.randomDuration(0, time.Second)
	s.earlierCapacities = append(s.earlierCapacities, simCapacity{cores: s.Cores, until: s.sim.now.Add(delay)})
	s.sim.schedule(delay, s.sim.publishServers)
}

// injectStoreCut cuts a VM off from the store for a while.
func (sim *simulation) injectStoreCut() {
	vm := sim.randomVM()
	sim.tracef("vm-%d is cut off from the store", vm.index)
	sim.cutFromStore[vm.index] = true
	sim.schedule(sim.randomDuration(2*time.Second, 10*time.Second), func() { delete(sim.cutFromStore, vm.index) })
}
