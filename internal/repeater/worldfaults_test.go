package repeater

import "time"

// drawFaults lays faults over a time.
func (w *world) drawFaults(length time.Duration) {
	kinds := []func(){
		w.faultKill, w.faultFreeze, w.faultCutVM, w.faultCutPair, w.faultOneWay, w.faultServerDown, w.faultServerCut,
		w.faultServerRestart, w.faultDrain, w.faultStall, w.faultKillMany, w.faultCutDomain, w.faultCutDomain,
	}
	for range w.cfg.faults {
		w.after(w.between(1500*time.Millisecond, length), kinds[w.rand.IntN(len(kinds))])
	}
}

func (w *world) anyVM() *worldVM { return w.vms[w.rand.IntN(len(w.vms))] }

func (w *world) anyServer() *worldServer { return w.servers[w.rand.IntN(len(w.servers))] }

func (w *world) faultKill() { w.killFor(w.anyVM(), w.between(100*time.Millisecond, 3*time.Second)) }

func (w *world) killFor(vm *worldVM, d time.Duration) {
	if vm.machine == nil {
		return
	}
	vm.kill()
	w.after(d, func() {
		if vm.machine == nil {
			w.note("vm-%d boots", vm.index)
			vm.boot()
			vm.link()
		}
	})
}

func (w *world) faultKillMany() {
	for _, vm := range w.vms {
		if w.chance(0.6) {
			w.killFor(vm, w.between(300*time.Millisecond, 2*time.Second))
		}
	}
}

func (w *world) faultFreeze() { w.anyVM().freeze(w.between(150*time.Millisecond, 4*time.Second)) }

// setCut cuts a directed link or mends it. A mended link is made anew.
func (w *world) setCut(from, to int, cut bool) {
	w.cut[[2]int{from, to}] = cut
	if cut {
		return
	}
	a, b := w.vms[from], w.vms[to]
	if a.machine == nil || b.machine == nil {
		return
	}
	a.step(PeerUnlinked{Peer: b.member})
	a.connect(b)
}

func (w *world) faultCutVM() {
	vm := w.anyVM()
	d := w.between(200*time.Millisecond, 5*time.Second)
	w.note("vm-%d is cut off for %v", vm.index, d)
	for _, other := range w.vms {
		if other != vm {
			w.cutPairFor(vm.index, other.index, d)
		}
	}
}

func (w *world) faultCutPair() {
	a, b := w.anyVM(), w.anyVM()
	if a != b {
		w.note("vm-%d and vm-%d are cut off from each other", a.index, b.index)
		w.cutPairFor(a.index, b.index, w.between(200*time.Millisecond, 5*time.Second))
	}
}

func (w *world) cutPairFor(a, b int, d time.Duration) {
	w.setCut(a, b, true)
	w.setCut(b, a, true)
	w.after(d, func() {
		w.setCut(a, b, false)
		w.setCut(b, a, false)
	})
}

// faultCutDomain cuts a failure domain off from the others, its servers
// included.
func (w *world) faultCutDomain() {
	domain := w.domain(w.rand.IntN(3))
	d := w.between(500*time.Millisecond, 6*time.Second)
	w.note("%s is cut off for %v", domain, d)
	for _, a := range w.vms {
		if w.domain(a.index) != domain {
			continue
		}
		for _, b := range w.vms {
			if w.domain(b.index) != domain {
				w.cutPairFor(a.index, b.index, d)
			}
		}
	}
	for _, s := range w.servers {
		for _, vm := range w.vms {
			if (s.Domain == domain) != (w.domain(vm.index) == domain) {
				s.silent[vm.index] = true
				w.after(d, func() { delete(s.silent, vm.index) })
			}
		}
	}
}

func (w *world) faultOneWay() {
	a, b := w.anyVM(), w.anyVM()
	if a == b {
		return
	}
	w.note("vm-%d doesn't reach vm-%d", a.index, b.index)
	w.setCut(a.index, b.index, true)
	w.after(w.between(200*time.Millisecond, 4*time.Second), func() { w.setCut(a.index, b.index, false) })
}

func (w *world) faultServerDown() {
	s := w.anyServer()
	if s.down {
		return
	}
	w.note("%s is down", s.ID)
	s.down = true
	s.restart()
	w.after(w.between(500*time.Millisecond, 4*time.Second), func() {
		w.note("%s is back", s.ID)
		s.down = false
		s.restart()
	})
}

func (w *world) faultServerRestart() {
	w.note("a server restarts")
	w.anyServer().restart()
}

func (w *world) faultServerCut() {
	s := w.anyServer()
	w.note("%s is cut off from some VMs", s.ID)
	for i := range w.vms {
		if w.chance(0.6) {
			s.silent[i] = true
		}
	}
	w.after(w.between(200*time.Millisecond, 5*time.Second), func() { s.silent = make(map[int]bool) })
}

func (w *world) faultStall() {
	s := w.anyServer()
	w.note("%s stalls what it starts", s.ID)
	s.stalls = true
	w.after(w.between(time.Second, 4*time.Second), func() { s.stalls = false })
}

// faultDrain shuts a VM down gracefully and starts it again.
func (w *world) faultDrain() {
	vm := w.anyVM()
	if vm.machine == nil {
		return
	}
	w.note("vm-%d drains", vm.index)
	life := vm.life
	vm.step(DrainStarted{})
	w.after(w.between(2*time.Second, 5*time.Second), func() {
		if vm.life == life {
			w.killFor(vm, 300*time.Millisecond)
		}
	})
}
