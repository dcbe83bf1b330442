package repeater

import "time"

// scheduleFaults schedules the configured number of random faults.
func (sim *simulation) scheduleFaults(length time.Duration) {
	kinds := []func(){
		sim.injectKill, sim.injectPause, sim.injectVMCut, sim.injectPairCut, sim.injectOneWayCut, sim.injectServerDown, sim.injectServerCut,
		sim.injectServerRestart, sim.injectDrain, sim.injectStall, sim.injectKillMany, sim.injectDomainCut, sim.injectDomainCut,
	}
	for range sim.cfg.faults {
		sim.schedule(sim.randomDuration(1500*time.Millisecond, length), kinds[sim.rand.IntN(len(kinds))])
	}
}

func (sim *simulation) randomVM() *simVM { return sim.vms[sim.rand.IntN(len(sim.vms))] }

func (sim *simulation) randomServer() *simServer { return sim.servers[sim.rand.IntN(len(sim.servers))] }

func (sim *simulation) injectKill() {
	sim.killFor(sim.randomVM(), sim.randomDuration(100*time.Millisecond, 3*time.Second))
}

func (sim *simulation) killFor(vm *simVM, d time.Duration) {
	if vm.machine == nil {
		return
	}
	vm.kill()
	sim.schedule(d, func() {
		if vm.machine == nil {
			sim.tracef("vm-%d boots", vm.index)
			vm.boot()
			vm.linkAll()
		}
	})
}

func (sim *simulation) injectKillMany() {
	for _, vm := range sim.vms {
		if sim.chance(0.6) {
			sim.killFor(vm, sim.randomDuration(300*time.Millisecond, 2*time.Second))
		}
	}
}

func (sim *simulation) injectPause() {
	sim.randomVM().pause(sim.randomDuration(150*time.Millisecond, 4*time.Second))
}

// setCut cuts or restores a directed link. A restored link is established anew.
func (sim *simulation) setCut(from, to int, cut bool) {
	sim.cut[[2]int{from, to}] = cut
	if sim.evacuations != nil {
		sim.evacuations.troubled[from], sim.evacuations.troubled[to] = sim.now, sim.now
	}
	if cut {
		sim.holdLink([2]int{from, to})
		return
	}
	if sim.releaseLink([2]int{from, to}) {
		return
	}
	a, b := sim.vms[from], sim.vms[to]
	if a.machine == nil || b.machine == nil {
		return
	}
	a.step(PeerUnlinked{Peer: b.member})
	a.connect(b)
}

func (sim *simulation) injectVMCut() { sim.cutOff(200*time.Millisecond, 5*time.Second) }

// injectPauseInCut pauses a VM while it is cut off from some others, so that these give
// tasks up unheard.
func (sim *simulation) injectPauseInCut() {
	vm := sim.randomVM()
	for _, other := range sim.vms {
		if other != vm && sim.chance(0.5) {
			sim.cutPairFor(vm.index, other.index, sim.randomDuration(time.Second, 4*time.Second))
		}
	}
	d := sim.randomDuration(200*time.Millisecond, 700*time.Millisecond)
	sim.schedule(sim.randomDuration(0, 300*time.Millisecond), func() { vm.pause(d) })
}

// injectShortCut cuts a VM off for about as long as links hold messages.
func (sim *simulation) injectShortCut() { sim.cutOff(200*time.Millisecond, 3500*time.Millisecond) }

// cutOff cuts a random VM off from the others for a random time between two bounds.
func (sim *simulation) cutOff(least, most time.Duration) {
	vm := sim.randomVM()
	d := sim.randomDuration(least, most)
	sim.tracef("vm-%d is cut off for %v", vm.index, d)
	for _, other := range sim.vms {
		if other != vm {
			sim.cutPairFor(vm.index, other.index, d)
		}
	}
}

func (sim *simulation) injectPairCut() {
	a, b := sim.randomVM(), sim.randomVM()
	if a != b {
		sim.tracef("vm-%d and vm-%d are cut off from each other", a.index, b.index)
		sim.cutPairFor(a.index, b.index, sim.randomDuration(200*time.Millisecond, 5*time.Second))
	}
}

func (sim *simulation) cutPairFor(a, b int, d time.Duration) {
	sim.setCut(a, b, true)
	sim.setCut(b, a, true)
	sim.schedule(d, func() {
		sim.setCut(a, b, false)
		sim.setCut(b, a, false)
	})
}

// injectDomainCut cuts a failure domain, servers included, off from the others.
func (sim *simulation) injectDomainCut() {
	domain := sim.domain(sim.rand.IntN(3))
	d := sim.randomDuration(500*time.Millisecond, 6*time.Second)
	sim.tracef("%s is cut off for %v", domain, d)
	for _, a := range sim.vms {
		if sim.domain(a.index) != domain {
			continue
		}
		for _, b := range sim.vms {
			if sim.domain(b.index) != domain {
				sim.cutPairFor(a.index, b.index, d)
			}
		}
	}
	for _, s := range sim.servers {
		for _, vm := range sim.vms {
			if (s.Domain == domain) != (sim.domain(vm.index) == domain) {
				s.cutFrom[vm.index] = true
				sim.schedule(d, func() { delete(s.cutFrom, vm.index) })
			}
		}
	}
}

func (sim *simulation) injectOneWayCut() {
	a, b := sim.randomVM(), sim.randomVM()
	if a == b {
		return
	}
	sim.tracef("vm-%d can't reach vm-%d", a.index, b.index)
	sim.setCut(a.index, b.index, true)
	sim.schedule(sim.randomDuration(200*time.Millisecond, 4*time.Second), func() { sim.setCut(a.index, b.index, false) })
}

func (sim *simulation) injectServerDown() {
	s := sim.randomServer()
	if s.down {
		return
	}
	sim.tracef("%s is down", s.ID)
	s.down = true
	s.restart()
	sim.schedule(sim.randomDuration(500*time.Millisecond, 4*time.Second), func() {
		sim.tracef("%s is back", s.ID)
		s.down = false
		s.restart()
	})
}

func (sim *simulation) injectServerRestart() {
	sim.tracef("a server restarts")
	sim.randomServer().restart()
}

func (sim *simulation) injectServerCut() {
	s := sim.randomServer()
	sim.tracef("%s is cut off from some VMs", s.ID)
	for i := range sim.vms {
		if sim.chance(0.6) {
			s.cutFrom[i] = true
		}
	}
	sim.schedule(sim.randomDuration(200*time.Millisecond, 5*time.Second), func() { s.cutFrom = make(map[int]bool) })
}

func (sim *simulation) injectStall() {
	s := sim.randomServer()
	sim.tracef("%s stalls the runs that it starts", s.ID)
	s.stalls = true
	sim.schedule(sim.randomDuration(time.Second, 4*time.Second), func() { s.stalls = false })
}

// injectDrain shuts a VM down gracefully and starts it again.
func (sim *simulation) injectDrain() {
	vm := sim.randomVM()
	if vm.machine == nil {
		return
	}
	sim.tracef("vm-%d drains", vm.index)
	process := vm.process
	vm.step(DrainStarted{})
	sim.schedule(sim.randomDuration(2*time.Second, 5*time.Second), func() {
		if vm.process == process {
			sim.killFor(vm, 300*time.Millisecond)
		}
	})
}
