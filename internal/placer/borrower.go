package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// borrower is what this VM, as an owner of slots, knows of a peer that uses
// some of them. Every SlotRequest of the peer both requests slots and reports the
// slots that the peer holds; a report in this package is that part of a SlotRequest.
//
// The slots that count as lent are those of the peer's latest report, those of
// the grants that no report has acknowledged, and those of the next grant.
type borrower struct {
	requested     identifier.Slots
	waitingSince  time.Time // when the task that waits longest began to wait
	maxNeeds      TaskNeeds // the maximum of each resource over its waiting tasks, not the needs of one of them
	requestSeen   uint64
	reportedAt    time.Time
	reported      []loan
	unacked       []grant
	nextGrant     []loan
	grantSequence uint64
}

// loan is a number of slots lent to one peer.
type loan struct {
	backend *backendState
	slots   identifier.Slots
}

// grant is a SlotGrant that was sent and that no report has acknowledged.
type grant struct {
	sequence uint64
	sentAt   time.Time
	loans    []loan
}
