package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// shareChangeDelay is how long a VM waits, after a change of the list of entry
// VMs or of a quota, before it uses more than its previous share. By then the
// others know of the change and use no more than their new shares.
const shareChangeDelay = time.Second

// quotaShare is this entry VM's share of one quota. In one division of the quota,
// the shares of all VMs never add up to more than it: a VM lowers its own share
// before it sends a transfer. Transfers are sent as totals that only grow, so that
// lost, repeated and reordered messages do no harm.
type quotaShare struct {
	divisionID    uint64                                 // of the quota between the entry VMs
	base          identifier.Slots                       // the share before any transfer
	previous      identifier.Slots                       // the share before the change; bounds the new one while pending
	pending       bool                                   // whether the change waits for effectiveAt
	effectiveAt   time.Time                              // when the new share takes effect
	transferredTo map[identifier.Member]identifier.Slots // slots transferred in all, by receiver
	receivedFrom  map[identifier.Member]identifier.Slots // slots received in all, by sender
	confirmedBy   map[identifier.Member]identifier.Slots // what the receivers have confirmed of transferredTo
	allowed       identifier.Slots                       // the share now
	deferred      identifier.Slots                       // slots to transfer to deferredTo as soon as tasks end
	deferredTo    identifier.Member

	nextRequestAt  time.Time // when to request parts of other VMs' shares again
	nextPeer       int       // index of the next VM to send a request to, modulo the number of VMs that can be reached
	failedRequests int       // rounds of requests since the share last grew
}

// updateAllowed recomputes the share after a transfer or a change.
func (q *quotaShare) updateAllowed() {
	share := q.base
	if q.pending {
		share = min(share, q.previous)
	}
	for _, n := range q.receivedFrom {
		share += n
	}
	for _, n := range q.transferredTo {
		share -= n
	}
	q.allowed = max(0, share)
}

// hasTransfers reports whether any part of the share was transferred, out or in.
func (q *quotaShare) hasTransfers() bool { return len(q.transferredTo)+len(q.receivedFrom) > 0 }

func (q *quotaShare) transferTo(to identifier.Member, n identifier.Slots) {
	if q.transferredTo == nil {
		q.transferredTo = make(map[identifier.Member]identifier.Slots)
	}
	q.transferredTo[to] += n
	q.updateAllowed()
}

// recordConfirmed records the total that a receiver has confirmed.
func (q *quotaShare) recordConfirmed(from identifier.Member, got identifier.Slots) {
	if got <= q.confirmedBy[from] {
		return
	}
	if q.confirmedBy == nil {
		q.confirmedBy = make(map[identifier.Member]identifier.Slots)
	}
	q.confirmedBy[from] = got
}

// receive records the total that another VM has transferred. It reports whether the
// total has grown.
func (q *quotaShare) receive(from identifier.Member, total identifier.Slots) bool {
	if total <= q.receivedFrom[from] {
		return false
	}
	if q.receivedFrom == nil {
		q.receivedFrom = make(map[identifier.Member]identifier.Slots)
	}
	q.receivedFrom[from] = total
	q.failedRequests = 0
	q.updateAllowed()
	return true
}

// usable is the number of tasks that the share lets run now.
func (q *quotaShare) usable() identifier.Slots { return q.allowed - q.deferred }

// requestedPeerCount is the number of VMs to which a request goes at once: one, or
// maxRequestedPeers when this VM has less than its base share.
func (q *quotaShare) requestedPeerCount() int {
	if q.allowed < q.base {
		return maxRequestedPeers
	}
	return 1
}
