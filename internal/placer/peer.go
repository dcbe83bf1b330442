package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// peer is what a Placer knows of another entry VM, which borrows slots from
// this one and lends slots to it.
type peer struct {
	DomainMember
	lost     bool
	backends []*backendState // that it owns
	lender   lender
	borrower borrower
}

func newPeer(m DomainMember) *peer {
	return &peer{DomainMember: m, lender: lender{holdings: backendSet{kind: holdingSet}}}
}

// lender is what a Placer knows of a peer as the owner of slots.
type lender struct {
	holdings    backendSet // its backend servers of which this VM holds slots
	slots       identifier.Slots
	free        identifier.Slots // that it could grant, as it said
	freeAt      time.Time        // when it said so; zero: never
	asked       identifier.Slots // wanted from it and not granted yet
	askSequence uint64
	askedAt     time.Time // of the latest SlotAsk
	answeredAt  time.Time // of the latest SlotGrant
	grantSeen   uint64
	due         time.Time // when the next SlotAsk is to be sent; zero: none is
	refused     []identifier.BackendID
}

// schedule has a SlotAsk sent at the given time or earlier.
func (l *lender) schedule(at time.Time) {
	if l.due.IsZero() || at.Before(l.due) {
		l.due = at
	}
}

// overdue reports whether the lender has granted nothing for a time.
func (l *lender) overdue(now time.Time, patience time.Duration) bool {
	return l.due.IsZero() && now.Sub(l.askedAt) >= patience && now.Sub(l.answeredAt) >= patience
}

// estimate is the number of slots that the lender can be expected to have free.
func (l *lender) estimate(now time.Time) identifier.Slots {
	if l.freeAt.IsZero() || now.Sub(l.freeAt) > hintAge {
		return l.slots / 2
	}
	return l.free
}
