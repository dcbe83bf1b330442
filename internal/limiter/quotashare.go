package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// quotaSettleTime is how long a VM waits, after a change of the list of entry
// VMs or of a quota, before it uses more than its earlier share. By then the
// others have heard of the change and use no more than their new shares.
const quotaSettleTime = time.Second

// quotaShare is this entry VM's share of one quota. The shares of all VMs in a
// division never add up to more than the quota: who gives a part first lowers
// its own share, and totals that only grow make lost messages harmless.
type quotaShare struct {
	division  uint64
	base      identifier.Slots
	earlier   identifier.Slots // share before the change, the bound until settledAt
	settling  bool
	settledAt time.Time
	given     map[identifier.Member]identifier.Slots // in all, by receiver
	got       map[identifier.Member]identifier.Slots // in all, by giver
	confirmed map[identifier.Member]identifier.Slots // of given
	allowed   identifier.Slots                       // the share now
	owed      identifier.Slots                       // to be given to owedTo as soon as tasks end
	owedTo    identifier.Member

	askAt  time.Time // of the next wish for a part of another VM's share
	cursor int       // the next VM to ask, among those that can be reached
	misses int       // wishes since the share last grew
}

// recount brings the share up to date.
func (q *quotaShare) recount() {
	share := q.base
	if q.settling {
		share = min(share, q.earlier)
	}
	for _, n := range q.got {
		share += n
	}
	for _, n := range q.given {
		share -= n
	}
	q.allowed = max(0, share)
}

// moved reports whether the share differs from the base by gifts.
func (q *quotaShare) moved() bool { return len(q.given)+len(q.got) > 0 }

func (q *quotaShare) give(to identifier.Member, n identifier.Slots) {
	if q.given == nil {
		q.given = make(map[identifier.Member]identifier.Slots)
	}
	q.given[to] += n
	q.recount()
}

// confirm notes what a receiver has got in all.
func (q *quotaShare) confirm(from identifier.Member, got identifier.Slots) {
	if got <= q.confirmed[from] {
		return
	}
	if q.confirmed == nil {
		q.confirmed = make(map[identifier.Member]identifier.Slots)
	}
	q.confirmed[from] = got
}

// receive takes in a giver's total. It reports whether the share has grown.
func (q *quotaShare) receive(from identifier.Member, total identifier.Slots) bool {
	if total <= q.got[from] {
		return false
	}
	if q.got == nil {
		q.got = make(map[identifier.Member]identifier.Slots)
	}
	q.got[from] = total
	q.misses = 0
	q.recount()
	return true
}

// usable is the number of tasks that the share lets run now.
func (q *quotaShare) usable() identifier.Slots { return q.allowed - q.owed }

// asks is the number of VMs to ask at once: one, or more when this VM has less
// than its base.
func (q *quotaShare) asks() int {
	if q.allowed < q.base {
		return maxAsks
	}
	return 1
}
