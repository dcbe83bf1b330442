package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	// freeHintTTL is how long the number of free slots that a peer stated is used.
	freeHintTTL = time.Second

	// grantReportDelay is the longest time between a grant and the SlotRequest that
	// reports it; it is well below grantTimeout.
	grantReportDelay = 250 * time.Millisecond

	// requestRepeatInterval is the time after which a SlotRequest is sent again while
	// slots are requested or held; it is well below reportTimeout.
	requestRepeatInterval = 500 * time.Millisecond

	// toleratedSurplus is a surplus of requested slots that is not worth a message.
	// A greater one is not worth it either while it is at most a quarter of the
	// slots that waiting tasks need.
	toleratedSurplus = 2

	// maxRefusedPerRequest bounds the refused backend servers that one SlotRequest names.
	maxRefusedPerRequest = 64
)

// planRequests divides the slots that waiting tasks need over the owners.
func (p *Placer) planRequests(now time.Time) {
	p.lowerRequests(now)
	missing := p.demand.total() - p.totalRequested()
	if missing <= 0 {
		return
	}
	lenders := p.lenders(now)
	if len(lenders) > p.params.maxLenders {
		lenders = lenders[:p.params.maxLenders]
	}
	for _, v := range lenders {
		n := min(missing, max(0, v.lender.expectedFree(now)-v.lender.requested))
		p.requestSlots(now, v, n)
		missing -= n
	}
	p.requestBusySlots(now, lenders, missing)
}

// requestBusySlots requests the slots that no owner is expected to have free,
// in equal parts from each owner. The owners grant them as tasks end.
func (p *Placer) requestBusySlots(now time.Time, lenders []*peer, missing identifier.Slots) {
	for i, v := range lenders {
		n := missing / identifier.Slots(len(lenders)-i)
		p.requestSlots(now, v, n)
		missing -= n
	}
}

func (p *Placer) requestSlots(now time.Time, v *peer, n identifier.Slots) {
	if n > 0 {
		v.lender.requested += n
		v.lender.scheduleRequest(now)
	}
}

// lowerRequests lowers the requests that are no longer needed, and halves those
// that a lender has not met in time while another one may have free slots.
func (p *Placer) lowerRequests(now time.Time) {
	surplus := p.surplusRequested()
	elsewhere := p.hasFreeLender(now)
	for _, v := range p.peers {
		l := &v.lender
		if l.requested == 0 {
			continue
		}
		if n := min(l.requested, surplus); n > 0 {
			l.requested -= n
			surplus -= n
			l.scheduleRequest(now.Add(p.params.returnDelay))
		}
		if elsewhere && l.overdue(now, p.params.reassignAfter) {
			l.freeHint, l.freeHintAt = 0, now
			l.requested /= 2
			l.scheduleRequest(now.Add(p.params.returnDelay))
		}
	}
}

// surplusRequested is the number of requested slots beyond those that waiting
// tasks need, or 0 when the difference is not worth a message.
func (p *Placer) surplusRequested() identifier.Slots {
	wanted := p.demand.total()
	surplus := p.totalRequested() - wanted
	if wanted > 0 && surplus <= max(toleratedSurplus, wanted/4) {
		return 0
	}
	return surplus
}

// hasFreeLender reports whether an owner may have more free slots than were
// requested from it.
func (p *Placer) hasFreeLender(now time.Time) bool {
	return slices.ContainsFunc(p.peers, func(v *peer) bool {
		return !v.unreachable && v.lender.expectedFree(now) > v.lender.requested
	})
}

func (p *Placer) totalRequested() identifier.Slots {
	var total identifier.Slots
	for _, v := range p.peers {
		total += v.lender.requested
	}
	return total
}

// lenders returns the owners that can be asked, those with the most free slots
// not yet requested first. Among equals, those of this failure domain go first
// and the rest of the order is random.
func (p *Placer) lenders(now time.Time) []*peer {
	var lenders []*peer
	for _, v := range p.peers {
		if !v.unreachable && v.lender.slots > 0 && (p.demand.anyDomain > 0 || v.Domain == p.self.Domain) {
			lenders = append(lenders, v)
		}
	}
	p.opts.Rand.Shuffle(len(lenders), func(i, k int) { lenders[i], lenders[k] = lenders[k], lenders[i] })
	slices.SortStableFunc(lenders, func(a, b *peer) int {
		if c := cmp.Compare(b.lender.expectedFree(now)-b.lender.requested, a.lender.expectedFree(now)-a.lender.requested); c != 0 {
			return c
		}
		return cmp.Compare(p.domainDistance(a), p.domainDistance(b))
	})
	return lenders
}

func (p *Placer) domainDistance(v *peer) int {
	if v.Domain == p.self.Domain {
		return 0
	}
	return 1
}

// handleSlotGrant records slots that an owner lends to this VM.
func (p *Placer) handleSlotGrant(now time.Time, v *peer, m peermessenger.SlotGrant) []Effect {
	l := &v.lender
	if m.Sequence <= l.grantSeen {
		return nil
	}
	l.grantSeen = m.Sequence
	l.grantReceivedAt = now
	l.freeHint, l.freeHintAt = m.Free, now
	l.scheduleRequest(now.Add(grantReportDelay))
	for _, c := range m.Slots {
		b, ok := p.backends[c.Backend]
		if !ok || b.owner != v || c.Slots <= 0 {
			l.scheduleRequest(now)
			continue
		}
		b.held = min(b.Slots, max(b.held, b.running)+c.Slots)
		b.reuseUntil = now.Add(p.params.reuseTime)
		b.idleSince = now
		l.requested = max(0, l.requested-c.Slots)
		p.reindex(now, b)
	}
	return []Effect{SlotsFreed{}}
}

// returnIdleSlots returns the granted slots that run no task, when their reuse
// time has passed or when no task waits and they have been idle for long enough.
func (p *Placer) returnIdleSlots(now time.Time) {
	wanted := p.demand.total() > 0
	for i := len(p.idleGranted.items) - 1; i >= 0; i-- {
		b := p.idleGranted.items[i]
		if now.Before(b.reuseUntil) && (wanted || now.Sub(b.idleSince) < p.params.idleTime) {
			continue
		}
		b.held = b.running
		b.owner.lender.scheduleRequest(now.Add(p.params.returnDelay))
		p.reindex(now, b)
	}
}

// freeHeldSlot keeps a granted slot whose task has ended, or returns it after
// its reuse time.
func (p *Placer) freeHeldSlot(now time.Time, b *backendState) {
	if b.owner == nil || b.owner == p.self {
		return
	}
	b.idleSince = now
	if !now.Before(b.reuseUntil) {
		b.held = min(b.held, b.running)
		b.owner.lender.scheduleRequest(now.Add(p.params.returnDelay))
	}
}

// returnRefusedSlot returns a granted slot on which the backend server refused
// a start as Full.
func (p *Placer) returnRefusedSlot(now time.Time, b *backendState) {
	if b.owner == nil || b.owner == p.self {
		return
	}
	b.held = min(b.held, b.running)
	l := &b.owner.lender
	if len(l.refused) < maxRefusedPerRequest {
		l.refused = append(l.refused, b.ID)
	}
	l.scheduleRequest(now.Add(p.params.returnDelay))
}

// sendRequest sends an owner the SlotRequest that is due, if any.
func (p *Placer) sendRequest(now time.Time, v *peer) []Effect {
	l := &v.lender
	if (l.requested > 0 || len(l.borrowed.items) > 0) && now.Sub(l.requestSentAt) >= requestRepeatInterval {
		l.scheduleRequest(now)
	}
	if !p.usesReserve || v.unreachable || l.requestDue.IsZero() || now.Before(l.requestDue) {
		return nil
	}
	l.requestSequence++
	l.requestSentAt = now
	l.requestDue = time.Time{}
	m := peermessenger.SlotRequest{
		Sequence:     l.requestSequence,
		GrantSeen:    l.grantSeen,
		Wanted:       l.requested,
		Millicores:   p.demand.maxNeeds.Millicores,
		Memory:       p.demand.maxNeeds.Memory,
		Accelerators: p.demand.maxNeeds.Accelerators,
		Waiting:      p.demand.longestWait(now),
		Held:         make([]peermessenger.SlotCount, len(l.borrowed.items)),
		Refused:      l.refused,
		Free:         p.ownedFreeSlots,
	}
	l.refused = nil
	for i, b := range l.borrowed.items {
		m.Held[i] = peermessenger.SlotCount{Backend: b.ID, Slots: b.slotsToReport()}
	}
	return []Effect{Send{To: v.Member, Message: m}}
}
