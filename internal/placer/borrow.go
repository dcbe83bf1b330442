package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	// hintAge is how long a peer's word on its free slots is used.
	hintAge = time.Second

	// confirmDelay is how long a grant may go without a report; it is well
	// below grantTimeout.
	confirmDelay = 250 * time.Millisecond

	// refreshTime is how often a report or a wish is repeated; it is well below
	// reportTimeout.
	refreshTime = 500 * time.Millisecond

	// minSurplus slots asked for in excess are not worth a message.
	minSurplus = 2

	// maxRefusedReports bounds the refusals that one SlotAsk reports.
	maxRefusedReports = 64
)

// plan spreads the wish for slots over the owners.
func (p *Placer) plan(now time.Time) {
	p.withdraw(now)
	missing := p.demand.total() - p.askedTotal()
	if missing <= 0 {
		return
	}
	lenders := p.lenders(now)
	if len(lenders) > p.pace.asks {
		lenders = lenders[:p.pace.asks]
	}
	for _, v := range lenders {
		n := min(missing, max(0, v.lender.estimate(now)-v.lender.asked))
		p.ask(now, v, n)
		missing -= n
	}
	p.queueAsks(now, lenders, missing)
}

// queueAsks divides what no owner is known to have free over the owners, which
// grant it as slots are freed.
func (p *Placer) queueAsks(now time.Time, lenders []*peer, missing identifier.Slots) {
	for i, v := range lenders {
		n := missing / identifier.Slots(len(lenders)-i)
		p.ask(now, v, n)
		missing -= n
	}
}

func (p *Placer) ask(now time.Time, v *peer, n identifier.Slots) {
	if n > 0 {
		v.lender.asked += n
		v.lender.schedule(now)
	}
}

// withdraw lowers the wishes that are no longer needed, and those that an owner
// has not met in time while another one may have slots.
func (p *Placer) withdraw(now time.Time) {
	surplus := p.surplus()
	elsewhere := p.freeElsewhere(now)
	for _, v := range p.peers {
		l := &v.lender
		if l.asked == 0 {
			continue
		}
		if n := min(l.asked, surplus); n > 0 {
			l.asked -= n
			surplus -= n
			l.schedule(now.Add(p.pace.returnDelay))
		}
		if elsewhere && l.overdue(now, p.pace.patience) {
			l.free, l.freeAt = 0, now
			l.asked /= 2
			l.schedule(now.Add(p.pace.returnDelay))
		}
	}
}

// surplus is how many more slots are asked for than tasks wait, when it is
// worth a message.
func (p *Placer) surplus() identifier.Slots {
	wanted := p.demand.total()
	surplus := p.askedTotal() - wanted
	if wanted > 0 && surplus <= max(minSurplus, wanted/4) {
		return 0
	}
	return surplus
}

// freeElsewhere reports whether an owner may have slots beyond those asked for.
func (p *Placer) freeElsewhere(now time.Time) bool {
	return slices.ContainsFunc(p.peers, func(v *peer) bool {
		return !v.lost && v.lender.estimate(now) > v.lender.asked
	})
}

func (p *Placer) askedTotal() identifier.Slots {
	var total identifier.Slots
	for _, v := range p.peers {
		total += v.lender.asked
	}
	return total
}

// lenders returns the owners that can be asked, the freest first. Between
// equals those of this failure domain go first.
func (p *Placer) lenders(now time.Time) []*peer {
	var lenders []*peer
	for _, v := range p.peers {
		if !v.lost && v.lender.slots > 0 && (p.demand.spilling > 0 || v.Domain == p.self.Domain) {
			lenders = append(lenders, v)
		}
	}
	p.opts.Rand.Shuffle(len(lenders), func(i, k int) { lenders[i], lenders[k] = lenders[k], lenders[i] })
	slices.SortStableFunc(lenders, func(a, b *peer) int {
		if c := cmp.Compare(b.lender.estimate(now)-b.lender.asked, a.lender.estimate(now)-a.lender.asked); c != 0 {
			return c
		}
		return cmp.Compare(p.distance(a), p.distance(b))
	})
	return lenders
}

func (p *Placer) distance(v *peer) int {
	if v.Domain == p.self.Domain {
		return 0
	}
	return 1
}

// granted takes in slots that an owner lends to this VM.
func (p *Placer) granted(now time.Time, v *peer, m peermessenger.SlotGrant) []Effect {
	l := &v.lender
	if m.Sequence <= l.grantSeen {
		return nil
	}
	l.grantSeen = m.Sequence
	l.answeredAt = now
	l.free, l.freeAt = m.Free, now
	l.schedule(now.Add(confirmDelay))
	for _, c := range m.Slots {
		b, ok := p.backends[c.Backend]
		if !ok || b.owner != v || c.Slots <= 0 {
			l.schedule(now)
			continue
		}
		b.held = min(b.Slots, max(b.held, b.running)+c.Slots)
		b.heldUntil = now.Add(p.pace.hold)
		b.idleAt = now
		l.asked = max(0, l.asked-c.Slots)
		p.refresh(now, b)
	}
	return []Effect{SlotsFreed{}}
}

// returnIdle gives back the granted slots that are not in use and either are
// held for long or have no task that waits.
func (p *Placer) returnIdle(now time.Time) {
	wanted := p.demand.total() > 0
	for i := len(p.held.items) - 1; i >= 0; i-- {
		b := p.held.items[i]
		if now.Before(b.heldUntil) && (wanted || now.Sub(b.idleAt) < p.pace.idle) {
			continue
		}
		b.held = b.running
		b.owner.lender.schedule(now.Add(p.pace.returnDelay))
		p.refresh(now, b)
	}
}

// freeHeld keeps or gives back a granted slot whose task has ended.
func (p *Placer) freeHeld(now time.Time, b *backendState) {
	if b.owner == nil || b.owner == p.self {
		return
	}
	b.idleAt = now
	if !now.Before(b.heldUntil) {
		b.held = min(b.held, b.running)
		b.owner.lender.schedule(now.Add(p.pace.returnDelay))
	}
}

// refuseHeld gives back a granted slot that turned out to be in use.
func (p *Placer) refuseHeld(now time.Time, b *backendState) {
	if b.owner == nil || b.owner == p.self {
		return
	}
	b.held = min(b.held, b.running)
	l := &b.owner.lender
	if len(l.refused) < maxRefusedReports {
		l.refused = append(l.refused, b.ID)
	}
	l.schedule(now.Add(p.pace.returnDelay))
}

// sendAsk sends an owner the report that is due, if any.
func (p *Placer) sendAsk(now time.Time, v *peer) []Effect {
	l := &v.lender
	if (l.asked > 0 || len(l.holdings.items) > 0) && now.Sub(l.askedAt) >= refreshTime {
		l.schedule(now)
	}
	if !p.reserving || v.lost || l.due.IsZero() || now.Before(l.due) {
		return nil
	}
	l.askSequence++
	l.askedAt = now
	l.due = time.Time{}
	m := peermessenger.SlotAsk{
		Sequence:     l.askSequence,
		GrantSeen:    l.grantSeen,
		Wanted:       l.asked,
		Millicores:   p.demand.need.Millicores,
		Memory:       p.demand.need.Memory,
		Accelerators: p.demand.need.Accelerators,
		Waiting:      p.demand.waiting(now),
		Held:         make([]peermessenger.SlotCount, len(l.holdings.items)),
		Refused:      l.refused,
		Free:         p.ownedFree,
	}
	l.refused = nil
	for i, b := range l.holdings.items {
		m.Held[i] = peermessenger.SlotCount{Backend: b.ID, Slots: b.inUse()}
	}
	return []Effect{Send{To: v.Member, Message: m}}
}
