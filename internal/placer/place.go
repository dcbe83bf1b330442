package placer

import (
	"time"
)

const (
	maxDraws  = 8 // random draws for one task before the set is searched
	maxMisses = 8 // kinds of tasks remembered as without a place during one call
)

// search is the state of one call of Place.
type search struct {
	now    time.Time
	misses []Want // wants for which a full search found nothing
}

// Place returns a place for as many of the wants as have one now, in their
// order. The others stay with the caller, who calls again after SlotsFreed.
func (p *Placer) Place(now time.Time, wants []Want) []Placement {
	s := search{now: now}
	p.demand = demand{}
	var placements []Placement
	for i := range wants {
		w := &wants[i]
		if s.missed(w) {
			p.leaveOver(w)
			continue
		}
		b := p.choose(&s, w)
		if b == nil {
			s.miss(w)
			p.leaveOver(w)
			continue
		}
		p.take(now, b, w)
		placements = append(placements, Placement{Ref: w.Ref, Backend: b.ID, Address: b.Address})
	}
	return placements
}

func (p *Placer) choose(s *search, w *Want) *backendState {
	switch p.policy(w).(type) {
	case Random:
		return p.draw(&p.usable, w)
	case TwoChoices:
		return p.chooseTwo(&p.usable, w)
	default:
		p.reserving = true
		return p.chooseReserved(s, w)
	}
}

func (p *Placer) policy(w *Want) Policy {
	if w.Policy == nil {
		return p.opts.Default
	}
	return w.Policy
}

// leaveOver counts a task without a place.
func (p *Placer) leaveOver(w *Want) {
	if _, ok := p.policy(w).(Reserve); !ok {
		return
	}
	p.demand.add(w)
	p.pace = messagesPace
	if p.demand.response > 0 {
		p.pace = responsePace
	}
}

// chooseReserved returns a backend server with a slot that this VM owns or was
// granted, or else one without an owner that can be reached.
func (p *Placer) chooseReserved(s *search, w *Want) *backendState {
	if b := p.chooseTwo(&p.owned, w); b != nil {
		return b
	}
	if b := p.chooseHeld(s.now, w); b != nil {
		return b
	}
	return p.chooseTwo(&p.unowned, w)
}

// chooseHeld returns a backend server of which this VM was granted a slot that
// it may still use.
func (p *Placer) chooseHeld(now time.Time, w *Want) *backendState {
	for _, b := range p.held.items {
		if b.spare(now) && b.takes(w) {
			return b
		}
	}
	return nil
}

// chooseTwo returns the freer one of two drawn backend servers.
func (p *Placer) chooseTwo(set *backendSet, w *Want) *backendState {
	a := p.draw(set, w)
	if a == nil {
		return nil
	}
	b := p.draw(set, w)
	if b != nil && b.free() > a.free() {
		return b
	}
	return a
}

// draw returns a backend server of the set that takes the task, drawn at
// random, or nil when there is none.
func (p *Placer) draw(set *backendSet, w *Want) *backendState {
	n := len(set.items)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		b := set.items[p.opts.Rand.IntN(n)]
		if b.takes(w) {
			return b
		}
	}
	start := p.opts.Rand.IntN(n)
	for i := range n {
		b := set.items[(start+i)%n]
		if b.takes(w) {
			return b
		}
	}
	return nil
}

func (p *Placer) take(now time.Time, b *backendState, w *Want) {
	b.running++
	if w.Accelerators > 0 {
		b.devicesInUse += w.Accelerators
		p.accelerators[w.Ref] = w.Accelerators
	}
	p.refresh(now, b)
}

func (s *search) missed(w *Want) bool {
	for i := range s.misses {
		m := &s.misses[i]
		if m.Policy == w.Policy && w.covers(m) {
			return true
		}
	}
	return false
}

func (s *search) miss(w *Want) {
	if len(s.misses) < maxMisses {
		s.misses = append(s.misses, *w)
	}
}
