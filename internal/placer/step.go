package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Step applies an event and returns what follows from it.
func (p *Placer) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case StartRefused:
		return p.startRefused(now, e)
	case TaskEnded:
		return p.taskEnded(now, e)
	case TaskLost:
		return p.taskLost(now, e)
	case UsageReported:
		return p.usageReported(now, e)
	case AllowanceSet:
		return p.allowanceSet(now, e)
	case PeerReceived:
		return p.peerReceived(now, e)
	case PeerLost:
		p.peerLost(now, e)
	case Flush:
		return p.flush(now, e)
	case Tick:
		return p.tick(now)
	}
	return nil
}

func (p *Placer) startRefused(now time.Time, e StartRefused) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	p.release(b, e.Ref)
	switch e.Reason {
	case Full:
		p.refuseHeld(now, b)
		p.block(now, b, backoff(minFullBackoff, maxFullBackoff, b.refusals))
		b.refusals++
	case Unreachable:
		p.block(now, b, backoff(minUnreachableBackoff, maxUnreachableBackoff, b.refusals))
		b.refusals++
	case Leaving:
		p.leave(now, b)
	case TooLarge:
		p.block(now, b, minFullBackoff)
	}
	p.refresh(now, b)
	p.forget(b)
	return nil
}

func (p *Placer) taskEnded(now time.Time, e TaskEnded) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	p.release(b, e.Ref)
	b.refusals = 0
	p.freeHeld(now, b)
	p.refresh(now, b)
	p.forget(b)
	if b.owner == p.self {
		p.distribute(now)
	}
	return []Effect{SlotsFreed{}}
}

func (p *Placer) taskLost(now time.Time, e TaskLost) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	p.release(b, e.Ref)
	p.block(now, b, lostBackoff)
	p.refresh(now, b)
	p.forget(b)
	return nil
}

func (p *Placer) usageReported(now time.Time, e UsageReported) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	b.foreign = min(max(0, e.Used-b.running), b.Slots)
	if e.Leaving {
		p.leave(now, b)
	}
	p.refresh(now, b)
	return nil
}

func (p *Placer) allowanceSet(now time.Time, e AllowanceSet) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	b.allowance = e.Tasks
	p.refresh(now, b)
	if !b.open(now) {
		return nil
	}
	return []Effect{SlotsFreed{}}
}

// peerReceived takes in a message. One from a VM that is not on the list of
// members is dropped: its sender repeats what matters.
func (p *Placer) peerReceived(now time.Time, e PeerReceived) []Effect {
	v, ok := p.byMember[e.From]
	if !ok {
		return nil
	}
	if v.lost {
		p.setLost(now, v, false)
	}
	switch m := e.Message.(type) {
	case peermessenger.SlotAsk:
		return p.asked(now, v, m)
	case peermessenger.SlotGrant:
		return p.granted(now, v, m)
	case peermessenger.BackendsLeaving:
		p.heardLeaving(now, v, m)
	}
	return nil
}

func (p *Placer) peerLost(now time.Time, e PeerLost) {
	if v, ok := p.byMember[e.Member]; ok && !v.lost {
		p.setLost(now, v, true)
	}
}

// setLost opens the backend servers of an owner that can't be reached to the
// choice without a grant, or closes them again.
func (p *Placer) setLost(now time.Time, v *peer, lost bool) {
	v.lost = lost
	v.lender.asked = 0
	v.borrower.wanted = 0
	for _, b := range v.backends {
		p.refresh(now, b)
	}
}

// flush asks for slots on behalf of the tasks that weigh the response time more.
func (p *Placer) flush(now time.Time, e Flush) []Effect {
	p.demand.raise(e.Waiting)
	effects := p.sendLeaving()
	if p.demand.response == 0 {
		return effects
	}
	p.plan(now)
	for _, v := range p.peers {
		effects = append(effects, p.sendAsk(now, v)...)
	}
	return effects
}

func (p *Placer) tick(now time.Time) []Effect {
	effects := p.reopen(now)
	effects = append(effects, p.sendLeaving()...)
	p.returnIdle(now)
	p.plan(now)
	for _, v := range p.peers {
		p.expireLoans(now, v)
	}
	effects = append(effects, p.distribute(now)...)
	for _, v := range p.peers {
		effects = append(effects, p.sendAsk(now, v)...)
		effects = append(effects, p.sendGrant(now, v)...)
	}
	return effects
}

// reopen opens the backend servers whose time of closing has passed.
func (p *Placer) reopen(now time.Time) []Effect {
	kept := p.blocked[:0]
	freed := false
	for _, b := range p.blocked {
		if now.Before(b.blockedUntil) || now.Before(b.settledAt) {
			kept = append(kept, b)
			continue
		}
		b.waiting = false
		p.refresh(now, b)
		freed = true
	}
	clear(p.blocked[len(kept):])
	p.blocked = kept
	if !freed {
		return nil
	}
	return []Effect{SlotsFreed{}}
}

// release gives back the slot and the accelerators of a placed task.
func (p *Placer) release(b *backendState, ref identifier.TaskRef) {
	b.running = max(0, b.running-1)
	if n, ok := p.accelerators[ref]; ok {
		b.devicesInUse -= n
		delete(p.accelerators, ref)
	}
}

func (p *Placer) block(now time.Time, b *backendState, d time.Duration) {
	b.blockedUntil = now.Add(d)
	p.wait(b)
}

// wait has the tick look at a backend server that is closed for a time.
func (p *Placer) wait(b *backendState) {
	if !b.waiting {
		b.waiting = true
		p.blocked = append(p.blocked, b)
	}
}

// backoff doubles from least with each consecutive refusal, up to most.
func backoff(least, most time.Duration, refusals int) time.Duration {
	d := least
	for range refusals {
		d *= 2
		if d >= most {
			return most
		}
	}
	return d
}
