package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// peer is what a Placer knows of another entry VM, which may borrow slots from
// this one and lend slots to it. Placer.self is a peer as well.
type peer struct {
	DomainMember
	unreachable bool            // whether it can't be reached
	backends    []*backendState // the backend servers that it owns
	lender      lender
	borrower    borrower
}

func newPeer(m DomainMember) *peer {
	return &peer{DomainMember: m, lender: lender{borrowed: backendSet{kind: borrowedSet}}}
}

// lender is what a Placer knows of a peer as an owner of slots.
type lender struct {
	borrowed        backendSet             // its backend servers on which this VM holds or uses slots
	slots           identifier.Slots       // slots of its listed backend servers that are not leaving
	freeHint        identifier.Slots       // free slots that it stated last
	freeHintAt      time.Time              // when it stated them; zero: never
	requested       identifier.Slots       // slots that this VM requested from it and that it has not granted yet
	requestSequence uint64                 // sequence of the latest SlotRequest that was sent to it
	requestSentAt   time.Time              // when the latest SlotRequest was sent
	grantReceivedAt time.Time              // when the latest SlotGrant arrived
	grantSeen       uint64                 // sequence of the latest SlotGrant
	requestDue      time.Time              // when to send the next SlotRequest; zero: none is due
	refused         []identifier.BackendID // backend servers to report as full in spite of a grant
}

// scheduleRequest makes the next SlotRequest due at the given time at the latest.
func (l *lender) scheduleRequest(at time.Time) {
	if l.requestDue.IsZero() || at.Before(l.requestDue) {
		l.requestDue = at
	}
}

// overdue reports whether the lender has granted nothing for the given time,
// although it was asked.
func (l *lender) overdue(now time.Time, limit time.Duration) bool {
	return l.requestDue.IsZero() && now.Sub(l.requestSentAt) >= limit && now.Sub(l.grantReceivedAt) >= limit
}

// expectedFree is the number of slots that the lender has stated as free, or
// half of its slots when its statement is too old.
func (l *lender) expectedFree(now time.Time) identifier.Slots {
	if l.freeHintAt.IsZero() || now.Sub(l.freeHintAt) > freeHintTTL {
		return l.slots / 2
	}
	return l.freeHint
}
