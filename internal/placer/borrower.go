package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// borrower is what an owner of slots knows of a peer that uses some of them.
//
// The slots that count as lent are those of the peer's latest report, those of
// the grants that the report does not cover, and those of the grant to be sent
// next.
type borrower struct {
	wanted        identifier.Slots
	since         time.Time // when the task that waits longest began to
	need          Want      // sizes of the largest task that waits
	askSeen       uint64
	heardAt       time.Time
	reported      []loan
	grants        []grant
	pending       []loan
	grantSequence uint64
}

// loan is a number of slots lent to one peer.
type loan struct {
	backend *backendState
	slots   identifier.Slots
}

// grant is a SlotGrant that was sent and is not covered by a report yet.
type grant struct {
	sequence uint64
	sentAt   time.Time
	loans    []loan
}
