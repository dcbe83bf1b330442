package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Step applies an event and returns its effects.
func (p *Placer) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case StartRefused:
		return p.handleStartRefused(now, e)
	case TaskEnded:
		return p.handleTaskEnded(now, e)
	case TaskOutcomeUnknown:
		return p.handleTaskOutcomeUnknown(now, e)
	case UsageReported:
		return p.handleUsageReported(now, e)
	case AllowanceChanged:
		return p.setAllowance(now, e)
	case PeerMessage:
		return p.handlePeerMessage(now, e)
	case PeerUnreachable:
		p.handlePeerUnreachable(now, e)
	case RequestSlots:
		return p.handleRequestSlots(now, e)
	case Tick:
		return p.tick(now)
	}
	return nil
}

func (p *Placer) handleStartRefused(now time.Time, e StartRefused) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	p.releaseSlot(b, e.Ref)
	switch e.Reason {
	case Full:
		p.returnRefusedSlot(now, b)
		p.block(now, b, backoff(minFullBackoff, maxFullBackoff, b.refusals))
		b.refusals++
	case Unreachable:
		p.block(now, b, backoff(minUnreachableBackoff, maxUnreachableBackoff, b.refusals))
		b.refusals++
	case Leaving:
		p.markLeaving(now, b)
	case TooLarge:
		p.block(now, b, minFullBackoff)
	}
	p.reindex(now, b)
	p.dropIfUnlisted(b)
	return nil
}

func (p *Placer) handleTaskEnded(now time.Time, e TaskEnded) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	p.releaseSlot(b, e.Ref)
	b.refusals = 0
	p.freeHeldSlot(now, b)
	p.reindex(now, b)
	p.dropIfUnlisted(b)
	if b.owner == p.self {
		p.distribute(now)
	}
	return []Effect{SlotsFreed{}}
}

func (p *Placer) handleTaskOutcomeUnknown(now time.Time, e TaskOutcomeUnknown) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	p.releaseSlot(b, e.Ref)
	p.block(now, b, lostBackoff)
	p.reindex(now, b)
	p.dropIfUnlisted(b)
	return nil
}

func (p *Placer) handleUsageReported(now time.Time, e UsageReported) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	b.usedByOthers = min(max(0, e.Used-b.running), b.Slots)
	if e.Leaving {
		p.markLeaving(now, b)
	}
	p.reindex(now, b)
	return nil
}

func (p *Placer) setAllowance(now time.Time, e AllowanceChanged) []Effect {
	b, ok := p.backends[e.Backend]
	if !ok {
		return nil
	}
	b.allowance = e.Tasks
	p.reindex(now, b)
	if !b.acceptsWork(now) {
		return nil
	}
	return []Effect{SlotsFreed{}}
}

// handlePeerMessage applies a peer's message. A message from a VM that is not on
// the list of members is dropped, because its sender repeats what matters.
func (p *Placer) handlePeerMessage(now time.Time, e PeerMessage) []Effect {
	v, ok := p.byMember[e.From]
	if !ok {
		return nil
	}
	if v.unreachable {
		p.setUnreachable(now, v, false)
	}
	switch m := e.Message.(type) {
	case peermessenger.SlotRequest:
		return p.handleSlotRequest(now, v, m)
	case peermessenger.SlotGrant:
		return p.handleSlotGrant(now, v, m)
	case peermessenger.BackendsLeaving:
		p.handleBackendsLeaving(now, v, m)
	}
	return nil
}

func (p *Placer) handlePeerUnreachable(now time.Time, e PeerUnreachable) {
	if v, ok := p.byMember[e.Member]; ok && !v.unreachable {
		p.setUnreachable(now, v, true)
	}
}

// setUnreachable records whether a peer can't be reached. If so, its backend
// servers can be chosen without a grant.
func (p *Placer) setUnreachable(now time.Time, v *peer, unreachable bool) {
	v.unreachable = unreachable
	v.lender.requested = 0
	v.borrower.requested = 0
	for _, b := range v.backends {
		p.reindex(now, b)
	}
}

// handleRequestSlots requests slots at once if the goal of a waiting task is
// MinimizeLatency, and announces the leaving backend servers.
func (p *Placer) handleRequestSlots(now time.Time, e RequestSlots) []Effect {
	p.demand.raiseTo(e.Waiting)
	effects := p.sendLeaving()
	if p.demand.latencyTasks == 0 {
		return effects
	}
	p.planRequests(now)
	for _, v := range p.peers {
		effects = append(effects, p.sendRequest(now, v)...)
	}
	return effects
}

func (p *Placer) tick(now time.Time) []Effect {
	effects := p.unblock(now)
	effects = append(effects, p.sendLeaving()...)
	p.returnIdleSlots(now)
	p.planRequests(now)
	for _, v := range p.peers {
		p.expireLoans(now, v)
	}
	effects = append(effects, p.distribute(now)...)
	for _, v := range p.peers {
		effects = append(effects, p.sendRequest(now, v)...)
		effects = append(effects, p.sendGrant(now, v)...)
	}
	return effects
}

// unblock lets the backend servers whose backoff or newOwnerDelay has passed accept
// work again.
func (p *Placer) unblock(now time.Time) []Effect {
	stillBlocked := p.blocked[:0]
	unblocked := false
	for _, b := range p.blocked {
		if now.Before(b.blockedUntil) || now.Before(b.ownerReadyAt) {
			stillBlocked = append(stillBlocked, b)
			continue
		}
		b.inBlocked = false
		p.reindex(now, b)
		unblocked = true
	}
	clear(p.blocked[len(stillBlocked):])
	p.blocked = stillBlocked
	if !unblocked {
		return nil
	}
	return []Effect{SlotsFreed{}}
}

// releaseSlot frees the slot and the accelerators of a placed task.
func (p *Placer) releaseSlot(b *backendState, ref identifier.TaskRef) {
	b.running = max(0, b.running-1)
	if n, ok := p.accelerators[ref]; ok {
		b.devicesInUse -= n
		delete(p.accelerators, ref)
	}
}

func (p *Placer) block(now time.Time, b *backendState, d time.Duration) {
	b.blockedUntil = now.Add(d)
	p.watchBlocked(b)
}

// watchBlocked lets each Tick check whether a backend server is still blocked.
func (p *Placer) watchBlocked(b *backendState) {
	if !b.inBlocked {
		b.inBlocked = true
		p.blocked = append(p.blocked, b)
	}
}

// backoff doubles from minDelay with each consecutive refusal, up to maxDelay.
func backoff(minDelay, maxDelay time.Duration, refusals int) time.Duration {
	d := minDelay
	for range refusals {
		d *= 2
		if d >= maxDelay {
			return maxDelay
		}
	}
	return d
}
