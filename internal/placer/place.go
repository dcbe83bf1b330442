package placer

import (
	"time"
)

const (
	maxDraws  = 8 // random draws for one task before the whole set is searched
	maxMisses = 8 // tasks remembered as without a place during one call of Place
)

// search is the state of one call of Place.
type search struct {
	now    time.Time
	misses []TaskNeeds // tasks for which no place was found
}

// Place returns placements, in the order of the tasks, for those that have a
// place now. The caller keeps the others and calls again after SlotsFreed.
func (p *Placer) Place(now time.Time, tasks []TaskNeeds) []Placement {
	s := search{now: now}
	p.demand = demand{}
	var placements []Placement
	for i := range tasks {
		w := &tasks[i]
		if s.knownMiss(w) {
			p.countUnplaced(w)
			continue
		}
		b := p.chooseBackend(&s, w)
		if b == nil {
			s.addMiss(w)
			p.countUnplaced(w)
			continue
		}
		p.occupySlot(now, b, w)
		placements = append(placements, Placement{Ref: w.Ref, Backend: b.ID, Address: b.Address})
	}
	return placements
}

func (p *Placer) chooseBackend(s *search, w *TaskNeeds) *backendState {
	switch p.policy(w).(type) {
	case Random:
		return p.drawBackend(&p.usable, w)
	case TwoChoices:
		return p.chooseOfTwo(&p.usable, w)
	default:
		p.usesReserve = true
		return p.chooseReserved(s, w)
	}
}

func (p *Placer) policy(w *TaskNeeds) Policy {
	if w.Policy == nil {
		return p.opts.DefaultPolicy
	}
	return w.Policy
}

// countUnplaced adds a task without a place to the demand, if it is under Reserve.
func (p *Placer) countUnplaced(w *TaskNeeds) {
	if _, ok := p.policy(w).(Reserve); !ok {
		return
	}
	p.demand.add(w)
	p.params = minMessagesParams
	if p.demand.latencyTasks > 0 {
		p.params = minLatencyParams
	}
}

// chooseReserved returns a backend server with a free slot that this VM owns or
// was granted, or else one whose owner is unknown or can't be reached, or nil.
func (p *Placer) chooseReserved(s *search, w *TaskNeeds) *backendState {
	if b := p.chooseOfTwo(&p.ownedWithFree, w); b != nil {
		return b
	}
	if b := p.chooseGranted(s.now, w); b != nil {
		return b
	}
	return p.chooseOfTwo(&p.ownerless, w)
}

// chooseGranted returns a backend server with a granted slot that this VM may
// still use, or nil.
func (p *Placer) chooseGranted(now time.Time, w *TaskNeeds) *backendState {
	for _, b := range p.idleGranted.items {
		if b.hasReusableSlot(now) && b.fitsNow(w) {
			return b
		}
	}
	return nil
}

// chooseOfTwo returns the freer one of two drawn backend servers, or nil when
// none fits the task.
func (p *Placer) chooseOfTwo(set *backendSet, w *TaskNeeds) *backendState {
	a := p.drawBackend(set, w)
	if a == nil {
		return nil
	}
	b := p.drawBackend(set, w)
	if b != nil && b.free() > a.free() {
		return b
	}
	return a
}

// drawBackend returns a backend server of the set, drawn at random, that the
// task fits now, or nil when there is none.
func (p *Placer) drawBackend(set *backendSet, w *TaskNeeds) *backendState {
	n := len(set.items)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		b := set.items[p.opts.Rand.IntN(n)]
		if b.fitsNow(w) {
			return b
		}
	}
	start := p.opts.Rand.IntN(n)
	for i := range n {
		b := set.items[(start+i)%n]
		if b.fitsNow(w) {
			return b
		}
	}
	return nil
}

func (p *Placer) occupySlot(now time.Time, b *backendState, w *TaskNeeds) {
	b.running++
	if w.Accelerators > 0 {
		b.devicesInUse += w.Accelerators
		p.accelerators[w.Ref] = w.Accelerators
	}
	p.reindex(now, b)
}

func (s *search) knownMiss(w *TaskNeeds) bool {
	for i := range s.misses {
		m := &s.misses[i]
		if m.Policy == w.Policy && w.covers(m) {
			return true
		}
	}
	return false
}

func (s *search) addMiss(w *TaskNeeds) {
	if len(s.misses) < maxMisses {
		s.misses = append(s.misses, *w)
	}
}
