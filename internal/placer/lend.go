package placer

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	// grantTimeout is how long a grant counts as lent when no report of the
	// borrower acknowledges it.
	grantTimeout = time.Second

	// reportTimeout is how long a report is valid when no later one arrives.
	reportTimeout = 2 * time.Second

	// minWait is added to each wait, so that a wait that has just begun has a
	// weight above zero.
	minWait = 5 * time.Millisecond

	// maxUnackedGrants bounds the grants to one peer that no report has
	// acknowledged.
	maxUnackedGrants = 256
)

// handleSlotRequest records the slots that a peer holds and those that it requests.
func (p *Placer) handleSlotRequest(now time.Time, v *peer, m peermessenger.SlotRequest) []Effect {
	br := &v.borrower
	if m.Sequence <= br.requestSeen {
		return nil
	}
	br.requestSeen = m.Sequence
	br.reportedAt = now
	br.requested = max(0, m.Wanted)
	br.waitingSince = now.Add(-max(0, m.Waiting))
	br.maxNeeds = TaskNeeds{Millicores: m.Millicores, Memory: m.Memory, Accelerators: m.Accelerators}
	v.lender.freeHint, v.lender.freeHintAt = m.Free, now
	p.replaceReport(now, v, m.Held)
	p.acknowledgeGrants(now, v, m.GrantSeen)
	p.blockRefused(now, m.Refused)
	freed := p.distribute(now)
	return append(freed, p.sendGrant(now, v)...)
}

func (p *Placer) replaceReport(now time.Time, v *peer, held []peermessenger.SlotCount) {
	br := &v.borrower
	for _, old := range br.reported {
		p.adjustLent(now, old.backend, -old.slots)
	}
	br.reported = br.reported[:0]
	for _, c := range held {
		b, ok := p.backends[c.Backend]
		if !ok || b.owner != p.self || c.Slots <= 0 || len(br.reported) >= len(p.self.backends) {
			continue
		}
		n := min(c.Slots, b.Slots)
		br.reported = append(br.reported, loan{backend: b, slots: n})
		p.adjustLent(now, b, n)
	}
}

// acknowledgeGrants drops the grants that a report acknowledges: the report
// counts their slots.
func (p *Placer) acknowledgeGrants(now time.Time, v *peer, seen uint64) {
	br := &v.borrower
	n := 0
	for ; n < len(br.unacked) && br.unacked[n].sequence <= seen; n++ {
		p.adjustAllLent(now, br.unacked[n].loans, -1)
	}
	br.unacked = br.unacked[n:]
}

// blockRefused blocks the backend servers that were full in spite of a grant,
// with a backoff that grows with each refusal.
func (p *Placer) blockRefused(now time.Time, refused []identifier.BackendID) {
	for _, id := range refused {
		b, ok := p.backends[id]
		if !ok || b.owner != p.self {
			continue
		}
		p.block(now, b, backoff(minFullBackoff, maxFullBackoff, b.refusals))
		b.refusals++
		p.reindex(now, b)
	}
}

func (p *Placer) adjustLent(now time.Time, b *backendState, n identifier.Slots) {
	b.lent += n
	p.reindex(now, b)
}

func (p *Placer) adjustAllLent(now time.Time, loans []loan, sign identifier.Slots) {
	for _, l := range loans {
		p.adjustLent(now, l.backend, sign*l.slots)
	}
}

// distribute divides the free slots that this VM owns between itself and the
// waiting peers. Each slot is drawn at random, with weights that grow steeply
// with the wait: most slots go to the VM that waits longest, and none starves.
func (p *Placer) distribute(now time.Time) []Effect {
	ownDemand := p.demand.total()
	ownShare := identifier.Slots(0)
	waiting := p.waitingPeers()
	for range p.ownedFreeSlots {
		if len(waiting) == 0 {
			break
		}
		i := p.drawWaiting(now, waiting, ownShare < ownDemand)
		if i == len(waiting) {
			ownShare++
			continue
		}
		p.addToGrant(now, waiting[i])
		if waiting[i].borrower.requested == 0 {
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
	if ownDemand > 0 && p.ownedFreeSlots > 0 {
		return []Effect{SlotsFreed{}}
	}
	return nil
}

// drawWaiting returns the index of the peer that gets the next slot, or
// len(waiting) when this VM gets it, which takes part only if selfWaits.
func (p *Placer) drawWaiting(now time.Time, waiting []*peer, selfWaits bool) int {
	total := 0.0
	for _, v := range waiting {
		total += waitWeight(now.Sub(v.borrower.waitingSince))
	}
	if selfWaits {
		total += waitWeight(p.demand.longestWait(now))
	}
	x := p.opts.Rand.Float64() * total
	for i, v := range waiting {
		x -= waitWeight(now.Sub(v.borrower.waitingSince))
		if x < 0 {
			return i
		}
	}
	if selfWaits {
		return len(waiting)
	}
	return len(waiting) - 1
}

// waitWeight is the weight of a wait in drawWaiting: its fourth power.
func waitWeight(d time.Duration) float64 {
	s := (max(0, d) + minWait).Seconds()
	return s * s * s * s
}

func (p *Placer) waitingPeers() []*peer {
	var waiting []*peer
	for _, v := range p.peers {
		if v.borrower.requested > 0 {
			waiting = append(waiting, v)
		}
	}
	return waiting
}

// addToGrant adds a free slot to the next grant to a peer. When no slot fits the
// peer's tasks, its request is dropped and it has to ask again.
func (p *Placer) addToGrant(now time.Time, v *peer) {
	br := &v.borrower
	b := p.drawBackendFor(v)
	if b == nil || len(br.unacked) >= maxUnackedGrants {
		br.requested = 0
		return
	}
	br.requested--
	br.nextGrant = addLoan(br.nextGrant, b)
	p.adjustLent(now, b, 1)
}

// drawBackendFor returns a backend server with a free slot that the peer can
// use, preferably the freer one of two drawn at random, or nil.
func (p *Placer) drawBackendFor(v *peer) *backendState {
	b := p.chooseOfTwo(&p.ownedWithFree, &v.borrower.maxNeeds)
	if b != nil && b.mayConnect(v.Member) {
		return b
	}
	for _, b := range p.ownedWithFree.items {
		if b.mayConnect(v.Member) && b.fitsNow(&v.borrower.maxNeeds) {
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

// sendGrant sends a peer its next grant, if that holds any slots.
func (p *Placer) sendGrant(now time.Time, v *peer) []Effect {
	br := &v.borrower
	if len(br.nextGrant) == 0 {
		return nil
	}
	br.grantSequence++
	br.unacked = append(br.unacked, grant{sequence: br.grantSequence, sentAt: now, loans: br.nextGrant})
	m := peermessenger.SlotGrant{
		Sequence: br.grantSequence,
		AskSeen:  br.requestSeen,
		Slots:    make([]peermessenger.SlotCount, len(br.nextGrant)),
		Free:     p.ownedFreeSlots,
	}
	for i, l := range br.nextGrant {
		m.Slots[i] = peermessenger.SlotCount{Backend: l.backend.ID, Slots: l.slots}
	}
	br.nextGrant = nil
	return []Effect{Send{To: v.Member, Message: m}}
}

// expireLoans takes back the slots that a peer has not reported in time.
func (p *Placer) expireLoans(now time.Time, v *peer) {
	br := &v.borrower
	n := 0
	for ; n < len(br.unacked) && now.Sub(br.unacked[n].sentAt) >= grantTimeout; n++ {
		p.adjustAllLent(now, br.unacked[n].loans, -1)
	}
	br.unacked = br.unacked[n:]
	if now.Sub(br.reportedAt) >= reportTimeout {
		br.requested = 0
		p.adjustAllLent(now, br.reported, -1)
		br.reported = br.reported[:0]
	}
}

// dropPeerLoans takes back all slots lent to a peer.
func (p *Placer) dropPeerLoans(now time.Time, v *peer) {
	br := &v.borrower
	br.requested = 0
	p.adjustAllLent(now, br.reported, -1)
	p.adjustAllLent(now, br.nextGrant, -1)
	for _, g := range br.unacked {
		p.adjustAllLent(now, g.loans, -1)
	}
	br.reported, br.nextGrant, br.unacked = nil, nil, nil
}

// dropBackendLoans drops all loans of a backend server that this VM no longer
// owns.
func (p *Placer) dropBackendLoans(b *backendState) {
	for _, v := range p.peers {
		br := &v.borrower
		br.reported = withoutBackend(br.reported, b)
		br.nextGrant = withoutBackend(br.nextGrant, b)
		for i := range br.unacked {
			br.unacked[i].loans = withoutBackend(br.unacked[i].loans, b)
		}
	}
	b.lent = 0
}

func withoutBackend(loans []loan, b *backendState) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return l.backend == b })
}
