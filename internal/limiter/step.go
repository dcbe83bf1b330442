package limiter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Step applies an event and returns its effects.
func (l *Limiter) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case MembersChanged:
		l.setMembers(now, e.Members)
		clear(l.unreachable)
		return []Effect{TasksReady{}}
	case PeerUnreachable:
		if slices.Contains(l.memberList.members, e.Member) {
			l.unreachable[e.Member] = true
		}
	case PeerMessage:
		return l.handlePeerMessage(now, e)
	case Tick:
		return l.tick(now)
	}
	return nil
}

func (l *Limiter) handlePeerMessage(now time.Time, e PeerMessage) []Effect {
	delete(l.unreachable, e.From)
	switch m := e.Message.(type) {
	case peermessenger.QuotaRequest:
		return l.handleShareRequests(now, e.From, m)
	case peermessenger.QuotaTransfer:
		return l.handleTransfers(e.From, m)
	}
	return nil
}

func (l *Limiter) tick(now time.Time) []Effect {
	if len(l.queues) > l.opts.MaxQueues/2 {
		l.evictIdle()
	}
	freed := l.applyPendingShares(now)
	effects := l.sendDeferred(now)
	effects = append(effects, l.requestShares(now)...)
	effects = append(effects, l.resendTransfers(now)...)
	if freed || len(l.delayed) > 0 {
		effects = append(effects, TasksReady{})
	}
	return effects
}
