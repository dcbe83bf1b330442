package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
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
		p.block(now, b, backoff(minFullBackoff, maxFullBackoff, b.refusals))
		b.refusals++
	case Unreachable:
		p.block(now, b, backoff(minUnreachableBackoff, maxUnreachableBackoff, b.refusals))
		b.refusals++
	case Leaving:
		b.leavingUntil = now.Add(leavingHold)
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
	p.refresh(now, b)
	p.forget(b)
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
		b.leavingUntil = now.Add(leavingHold)
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
	return []Effect{SlotsFreed{}}
}

// tick reopens the backend servers whose backoff has passed.
func (p *Placer) tick(now time.Time) []Effect {
	kept := p.blocked[:0]
	freed := false
	for _, b := range p.blocked {
		if now.Before(b.blockedUntil) {
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
