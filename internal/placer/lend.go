package placer

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	// grantTimeout is how long a grant counts as lent without being covered by
	// a report of the borrower.
	grantTimeout = time.Second

	// reportTimeout is how long a report counts without a later one.
	reportTimeout = 2 * time.Second

	// leastWait is added to each wait, so that those that have just begun count.
	leastWait = 5 * time.Millisecond

	// maxGrants bounds the grants to one peer that no report covers.
	maxGrants = 256
)

// asked takes in a peer's report and its wish for slots.
func (p *Placer) asked(now time.Time, v *peer, m peermessenger.SlotAsk) []Effect {
	w := &v.borrower
	if m.Sequence <= w.askSeen {
		return nil
	}
	w.askSeen = m.Sequence
	w.heardAt = now
	w.wanted = max(0, m.Wanted)
	w.since = now.Add(-max(0, m.Waiting))
	w.need = Want{Millicores: m.Millicores, Memory: m.Memory, Accelerators: m.Accelerators}
	v.lender.free, v.lender.freeAt = m.Free, now
	p.setReported(now, v, m.Held)
	p.coverGrants(now, v, m.GrantSeen)
	p.blockRefused(now, m.Refused)
	freed := p.distribute(now)
	return append(freed, p.sendGrant(now, v)...)
}

func (p *Placer) setReported(now time.Time, v *peer, held []peermessenger.SlotCount) {
	w := &v.borrower
	for _, old := range w.reported {
		p.lend(now, old.backend, -old.slots)
	}
	w.reported = w.reported[:0]
	for _, c := range held {
		b, ok := p.backends[c.Backend]
		if !ok || b.owner != p.self || c.Slots <= 0 || len(w.reported) >= len(p.self.backends) {
			continue
		}
		n := min(c.Slots, b.Slots)
		w.reported = append(w.reported, loan{backend: b, slots: n})
		p.lend(now, b, n)
	}
}

// coverGrants forgets the grants that a report covers.
func (p *Placer) coverGrants(now time.Time, v *peer, seen uint64) {
	w := &v.borrower
	n := 0
	for ; n < len(w.grants) && w.grants[n].sequence <= seen; n++ {
		p.lendAll(now, w.grants[n].loans, -1)
	}
	w.grants = w.grants[n:]
}

// blockRefused closes for a while the backend servers that were full in spite
// of a grant.
func (p *Placer) blockRefused(now time.Time, refused []identifier.BackendID) {
	for _, id := range refused {
		b, ok := p.backends[id]
		if !ok || b.owner != p.self {
			continue
		}
		p.block(now, b, backoff(minFullBackoff, maxFullBackoff, b.refusals))
		b.refusals++
		p.refresh(now, b)
	}
}

func (p *Placer) lend(now time.Time, b *backendState, n identifier.Slots) {
	b.lent += n
	p.refresh(now, b)
}

func (p *Placer) lendAll(now time.Time, loans []loan, sign identifier.Slots) {
	for _, l := range loans {
		p.lend(now, l.backend, sign*l.slots)
	}
}

// distribute divides the free slots that this VM owns between itself and the
// peers that wait, at random with weights that grow steeply with the wait. So
// the slots go mostly to who waits longest, and all of them are served.
func (p *Placer) distribute(now time.Time) []Effect {
	own := p.demand.total()
	kept := identifier.Slots(0)
	waiting := p.waitingPeers()
	for range p.ownedFree {
		if len(waiting) == 0 {
			break
		}
		i := p.drawWaiting(now, waiting, kept < own)
		if i == len(waiting) {
			kept++
			continue
		}
		p.reserveFor(now, waiting[i])
		if waiting[i].borrower.wanted == 0 {
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
	if own > 0 && p.ownedFree > 0 {
		return []Effect{SlotsFreed{}}
	}
	return nil
}

// drawWaiting returns the index of the peer that gets the next slot, or the
// number of the peers when this VM, which takes part in the draw when it waits,
// gets it.
func (p *Placer) drawWaiting(now time.Time, waiting []*peer, selfWaits bool) int {
	total := 0.0
	for _, v := range waiting {
		total += waitWeight(now.Sub(v.borrower.since))
	}
	if selfWaits {
		total += waitWeight(p.demand.waiting(now))
	}
	x := p.opts.Rand.Float64() * total
	for i, v := range waiting {
		x -= waitWeight(now.Sub(v.borrower.since))
		if x < 0 {
			return i
		}
	}
	if selfWaits {
		return len(waiting)
	}
	return len(waiting) - 1
}

// waitWeight is the weight of a wait in the draw of the next slot.
func waitWeight(d time.Duration) float64 {
	s := (max(0, d) + leastWait).Seconds()
	return s * s * s * s
}

func (p *Placer) waitingPeers() []*peer {
	var waiting []*peer
	for _, v := range p.peers {
		if v.borrower.wanted > 0 {
			waiting = append(waiting, v)
		}
	}
	return waiting
}

// reserveFor adds a free slot to the next grant to a peer. A peer for whose
// tasks no slot fits has to ask again.
func (p *Placer) reserveFor(now time.Time, v *peer) {
	w := &v.borrower
	b := p.lendableTo(v)
	if b == nil || len(w.grants) >= maxGrants {
		w.wanted = 0
		return
	}
	w.wanted--
	w.pending = addLoan(w.pending, b)
	p.lend(now, b, 1)
}

// lendableTo returns the freer one of two drawn backend servers that the peer
// can use, or nil.
func (p *Placer) lendableTo(v *peer) *backendState {
	b := p.chooseTwo(&p.owned, &v.borrower.need)
	if b != nil && b.mayConnect(v.Member) {
		return b
	}
	for _, b := range p.owned.items {
		if b.mayConnect(v.Member) && b.takes(&v.borrower.need) {
			return b
		}
	}
	return nil
}

func addLoan(loans []loan, b *backendState) []loan {
	for i := range loans {
		if loans[i].backend == b {
			loans[i].slots++
			return loans
		}
	}
	return append(loans, loan{backend: b, slots: 1})
}

// sendGrant sends the slots reserved for a peer.
func (p *Placer) sendGrant(now time.Time, v *peer) []Effect {
	w := &v.borrower
	if len(w.pending) == 0 {
		return nil
	}
	w.grantSequence++
	w.grants = append(w.grants, grant{sequence: w.grantSequence, sentAt: now, loans: w.pending})
	m := peermessenger.SlotGrant{
		Sequence: w.grantSequence,
		AskSeen:  w.askSeen,
		Slots:    make([]peermessenger.SlotCount, len(w.pending)),
		Free:     p.ownedFree,
	}
	for i, l := range w.pending {
		m.Slots[i] = peermessenger.SlotCount{Backend: l.backend.ID, Slots: l.slots}
	}
	w.pending = nil
	return []Effect{Send{To: v.Member, Message: m}}
}

// expireLoans takes back what a peer has not reported in time.
func (p *Placer) expireLoans(now time.Time, v *peer) {
	w := &v.borrower
	n := 0
	for ; n < len(w.grants) && now.Sub(w.grants[n].sentAt) >= grantTimeout; n++ {
		p.lendAll(now, w.grants[n].loans, -1)
	}
	w.grants = w.grants[n:]
	if now.Sub(w.heardAt) >= reportTimeout {
		w.wanted = 0
		p.lendAll(now, w.reported, -1)
		w.reported = w.reported[:0]
	}
}

// dropLoans takes back all that is lent to a peer.
func (p *Placer) dropLoans(now time.Time, v *peer) {
	w := &v.borrower
	w.wanted = 0
	p.lendAll(now, w.reported, -1)
	p.lendAll(now, w.pending, -1)
	for _, g := range w.grants {
		p.lendAll(now, g.loans, -1)
	}
	w.reported, w.pending, w.grants = nil, nil, nil
}

// forgetLoans forgets what is lent of a backend server that this VM no longer
// owns.
func (p *Placer) forgetLoans(b *backendState) {
	for _, v := range p.peers {
		w := &v.borrower
		w.reported = withoutBackend(w.reported, b)
		w.pending = withoutBackend(w.pending, b)
		for i := range w.grants {
			w.grants[i].loans = withoutBackend(w.grants[i].loans, b)
		}
	}
	b.lent = 0
}

func withoutBackend(loans []loan, b *backendState) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return l.backend == b })
}
