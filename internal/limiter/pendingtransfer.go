package limiter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// transferResendInterval is the time after which a transfer that its receiver
// has not confirmed is sent again.
const transferResendInterval = time.Second

// pendingTransfer is a part of a share that was transferred to another VM, which
// has not confirmed it yet.
type pendingTransfer struct {
	queue      *profileQueue
	divisionID uint64
	to         identifier.Member
	sendAt     time.Time
}

// done reports whether the transfer is confirmed or belongs to an earlier division
// of the quota.
func (t *pendingTransfer) done() bool {
	q := &t.queue.share
	return q.divisionID != t.divisionID || q.confirmedBy[t.to] >= q.transferredTo[t.to]
}

func (l *Limiter) awaitConfirmation(now time.Time, pq *profileQueue, to identifier.Member) {
	known := slices.ContainsFunc(l.unconfirmed, func(t pendingTransfer) bool { return t.queue == pq && t.to == to && !t.done() })
	if !known {
		l.unconfirmed = append(l.unconfirmed, pendingTransfer{queue: pq, divisionID: pq.share.divisionID, to: to, sendAt: now.Add(transferResendInterval)})
	}
}

// resendTransfers sends the transfers again that are not confirmed in time.
func (l *Limiter) resendTransfers(now time.Time) []Effect {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(t pendingTransfer) bool { return t.done() })
	due := make(map[identifier.Member][]peermessenger.ShareTransfer)
	for i := range l.unconfirmed {
		t := &l.unconfirmed[i]
		if now.Before(t.sendAt) || l.unreachable[t.to] || len(due[t.to]) >= maxQuotasPerMessage {
			continue
		}
		t.sendAt = now.Add(transferResendInterval)
		due[t.to] = append(due[t.to], peermessenger.ShareTransfer{Name: t.queue.quotaKey(), Total: t.queue.share.transferredTo[t.to]})
	}
	var effects []Effect
	for _, to := range l.memberList.members {
		if len(due[to]) > 0 {
			effects = append(effects, Send{To: to, Message: peermessenger.QuotaTransfer{Transfers: due[to]}})
		}
	}
	return effects
}
