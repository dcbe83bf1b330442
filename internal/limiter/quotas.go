package limiter

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const (
	minRequestInterval  = 50 * time.Millisecond // between share requests for one quota
	maxRequestInterval  = 2 * time.Second       // the doubled interval is at most this
	maxQuotasPerMessage = 512                   // quotas that one message names
	maxRequestedPeers   = 8                     // VMs to which a request goes at once while this VM has less than its base share
)

// setMembers divides the quotas between a new list of entry VMs.
func (l *Limiter) setMembers(now time.Time, members []identifier.Member) {
	next := newMemberList(members)
	if next.hash == l.memberList.hash && len(next.members) == len(l.memberList.members) {
		return
	}
	l.previousMemberList = l.memberList
	l.memberList = next
	l.memberCount = max(1, len(members))
	startsAlone := len(l.previousMemberList.members) == 0 && len(members) == 1
	l.sharesEffectiveAt = now.Add(shareChangeDelay)
	if startsAlone {
		l.sharesEffectiveAt = now
	}
	for _, pq := range l.sortedQueues() {
		l.assignShare(now, pq, l.sharesEffectiveAt)
		l.updateReady(pq.team)
	}
}

// setQuota sets a queue's quota. A changed quota raises the share only after
// shareChangeDelay.
func (l *Limiter) setQuota(now time.Time, pq *profileQueue, quota identifier.Slots) {
	if pq.quota == quota {
		return
	}
	firstQuota := pq.quota == 0
	pq.quota = quota
	if firstQuota {
		pq.share.allowed = l.previousMemberList.baseShare(pq.key, quota, l.opts.Self)
		l.assignShare(now, pq, l.sharesEffectiveAt)
	} else {
		l.assignShare(now, pq, now.Add(shareChangeDelay))
	}
	l.updateReady(pq.team)
}

// assignShare sets a queue's share to its base share in the current member list.
// Until effectiveAt, the share is no greater than before.
func (l *Limiter) assignShare(now time.Time, pq *profileQueue, effectiveAt time.Time) {
	if pq.quota == 0 {
		return
	}
	pq.share = quotaShare{
		divisionID:  l.memberList.divisionID(pq.quota),
		base:        pq.quota,
		previous:    pq.share.allowed,
		pending:     now.Before(effectiveAt),
		effectiveAt: effectiveAt,
		nextPeer:    int(rendezvousWeight(pq.key, l.opts.Self) >> 1),
	}
	if len(l.memberList.members) > 0 {
		pq.share.base = l.memberList.baseShare(pq.key, pq.quota, l.opts.Self)
	}
	pq.share.updateAllowed()
	if pq.share.pending {
		l.pendingShares = append(l.pendingShares, pq)
	}
}

// applyPendingShares puts the new shares in force whose effectiveAt has come.
// It reports whether there were any.
func (l *Limiter) applyPendingShares(now time.Time) (freed bool) {
	l.pendingShares = slices.DeleteFunc(l.pendingShares, func(pq *profileQueue) bool {
		if pq.share.pending && now.Before(pq.share.effectiveAt) {
			return false
		}
		if pq.share.pending {
			pq.share.pending = false
			pq.share.updateAllowed()
			l.updateReady(pq.team)
			freed = true
		}
		return true
	})
	return freed
}

func (l *Limiter) sortedQueues() []*profileQueue {
	queues := make([]*profileQueue, 0, len(l.queues))
	for _, pq := range l.queues {
		queues = append(queues, pq)
	}
	slices.SortFunc(queues, func(a, b *profileQueue) int {
		return cmp.Or(strings.Compare(string(a.key.team), string(b.key.team)), strings.Compare(string(a.key.profile), string(b.key.profile)))
	})
	return queues
}

// requestShares requests parts of other VMs' shares of the quotas that hold back
// queued tasks on this VM. It sends one message to each VM.
func (l *Limiter) requestShares(now time.Time) []Effect {
	reachable := l.reachablePeers()
	if len(reachable) == 0 || now.Before(l.nextRequestAt) {
		return nil
	}
	l.nextRequestAt = now.Add(minRequestInterval / 2)
	requests := l.confirmations
	l.confirmations = make(map[identifier.Member][]peermessenger.ShareRequest)
	for _, pq := range l.shareLimitedQueues(now) {
		q := &pq.share
		q.nextRequestAt = now.Add(min(maxRequestInterval, minRequestInterval<<min(q.failedRequests, 10)))
		q.failedRequests++
		for range min(len(reachable), q.requestedPeerCount()) {
			to := reachable[q.nextPeer%len(reachable)]
			q.nextPeer++
			if len(requests[to]) < maxQuotasPerMessage {
				requests[to] = append(requests[to], pq.shareRequest(to, min(identifier.Slots(pq.queued), pq.quota-q.allowed)))
			}
		}
	}
	var effects []Effect
	for _, to := range l.memberList.members {
		if len(requests[to]) > 0 {
			effects = append(effects, Send{To: to, Message: peermessenger.QuotaRequest{Requests: requests[to]}})
		}
	}
	return effects
}

// shareLimitedQueues returns the queues whose tasks only this VM's share holds
// back, not the whole quota, and for which a request is due.
func (l *Limiter) shareLimitedQueues(now time.Time) []*profileQueue {
	var queues []*profileQueue
	for _, pq := range l.queues {
		if pq.quota > 0 && pq.queued > 0 && pq.running >= pq.share.usable() && pq.share.allowed < pq.quota && !now.Before(pq.share.nextRequestAt) {
			queues = append(queues, pq)
		}
	}
	slices.SortFunc(queues, func(a, b *profileQueue) int {
		return cmp.Or(strings.Compare(string(a.key.team), string(b.key.team)), strings.Compare(string(a.key.profile), string(b.key.profile)))
	})
	return queues
}

func (l *Limiter) reachablePeers() []identifier.Member {
	var members []identifier.Member
	for _, m := range l.memberList.members {
		if m != l.opts.Self && !l.unreachable[m] {
			members = append(members, m)
		}
	}
	return members
}

// handleShareRequests transfers to the requesting VM what it can have of each quota,
// and repeats the totals that it has not received yet.
func (l *Limiter) handleShareRequests(now time.Time, from identifier.Member, m peermessenger.QuotaRequest) []Effect {
	if !slices.Contains(l.memberList.members, from) {
		return nil
	}
	var transfers []peermessenger.ShareTransfer
	for _, request := range m.Requests {
		pq := l.requestedQueue(now, request)
		if pq == nil {
			continue
		}
		pq.share.recordConfirmed(from, request.Received)
		l.serveShareRequest(now, pq, from, request)
		if total := pq.share.transferredTo[from]; total > request.Received {
			transfers = append(transfers, peermessenger.ShareTransfer{Name: request.Name, Total: total})
		}
	}
	if len(transfers) == 0 {
		return nil
	}
	return []Effect{Send{To: from, Message: peermessenger.QuotaTransfer{Transfers: transfers}}}
}

// serveShareRequest transfers half of the spare share. A VM that has less than
// its base share also gets what this VM has above its own base share, as soon as
// tasks here end.
func (l *Limiter) serveShareRequest(now time.Time, pq *profileQueue, from identifier.Member, request peermessenger.ShareRequest) {
	q := &pq.share
	n := min(request.Wanted, (pq.spareShare()+1)/2)
	l.transfer(now, pq, from, n)
	below := l.memberList.baseShare(pq.key, pq.quota, from) - request.Share - n
	due := min(request.Wanted-n, below, q.allowed-q.base)
	if due <= 0 || q.deferred > 0 {
		return
	}
	q.deferred, q.deferredTo = due, from
	l.deferredQueues = append(l.deferredQueues, pq)
	l.updateReady(pq.team)
}

func (l *Limiter) transfer(now time.Time, pq *profileQueue, to identifier.Member, n identifier.Slots) {
	if n <= 0 {
		return
	}
	pq.share.transferTo(to, n)
	l.awaitConfirmation(now, pq, to)
	l.updateReady(pq.team)
}

// sendDeferred transfers the deferred parts of shares, as far as ended tasks allow.
func (l *Limiter) sendDeferred(now time.Time) []Effect {
	var effects []Effect
	l.deferredQueues = slices.DeleteFunc(l.deferredQueues, func(pq *profileQueue) bool {
		q := &pq.share
		n := min(q.deferred, q.allowed-pq.running)
		if n <= 0 {
			return q.deferred == 0
		}
		q.deferred -= n
		l.transfer(now, pq, q.deferredTo, n)
		effects = append(effects, Send{To: q.deferredTo, Message: peermessenger.QuotaTransfer{Transfers: []peermessenger.ShareTransfer{
			{Name: pq.quotaKey(), Total: q.transferredTo[q.deferredTo]},
		}}})
		return q.deferred == 0
	})
	return effects
}

// requestedQueue returns the queue that a request names, or nil when the request
// belongs to another member list or quota, or there are too many queues.
func (l *Limiter) requestedQueue(now time.Time, request peermessenger.ShareRequest) *profileQueue {
	if request.Quota <= 0 || request.Name.Division != l.memberList.divisionID(request.Quota) {
		return nil
	}
	pq := l.queue(queueKey{team: request.Name.Team, profile: request.Name.Profile})
	if pq == nil {
		return nil
	}
	if pq.quota == 0 && pq.unfinishedJobs == 0 {
		l.setQuota(now, pq, request.Quota)
	}
	if pq.quota != request.Quota {
		return nil
	}
	return pq
}

func (l *Limiter) handleTransfers(from identifier.Member, m peermessenger.QuotaTransfer) []Effect {
	freed := false
	for _, transfer := range m.Transfers {
		pq, ok := l.queues[queueKey{team: transfer.Name.Team, profile: transfer.Name.Profile}]
		if !ok || pq.quotaKey() != transfer.Name {
			continue
		}
		if pq.share.receive(from, transfer.Total) {
			l.updateReady(pq.team)
			freed = true
		}
		l.queueConfirmation(from, pq)
	}
	if !freed {
		return nil
	}
	return []Effect{TasksReady{}}
}

// queueConfirmation adds what this VM has received in all to the next requests to
// the sender of a transfer.
func (l *Limiter) queueConfirmation(sender identifier.Member, pq *profileQueue) {
	if len(l.confirmations[sender]) < maxQuotasPerMessage {
		l.confirmations[sender] = append(l.confirmations[sender], pq.shareRequest(sender, 0))
	}
}

// shareRequest is a request to another VM for a part of its share.
func (pq *profileQueue) shareRequest(to identifier.Member, wanted identifier.Slots) peermessenger.ShareRequest {
	return peermessenger.ShareRequest{
		Name:     pq.quotaKey(),
		Quota:    pq.quota,
		Wanted:   wanted,
		Received: pq.share.receivedFrom[to],
		Share:    pq.share.allowed,
	}
}

func (pq *profileQueue) quotaKey() peermessenger.QuotaKey {
	return peermessenger.QuotaKey{Team: pq.key.team, Profile: pq.key.profile, Division: pq.share.divisionID}
}

// spareShare is the part of the share that no queued or running task on this VM
// needs.
func (pq *profileQueue) spareShare() identifier.Slots {
	return max(0, pq.share.usable()-pq.running-identifier.Slots(pq.queued))
}
