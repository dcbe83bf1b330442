package limiter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Step applies an event and returns its effects.
func (l *Limiter) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case MembersSet:
		l.setMembers(now, e.Members)
		clear(l.lost)
		return []Effect{QuotaFreed{}}
	case PeerLost:
		if slices.Contains(l.division.members, e.Member) {
			l.lost[e.Member] = true
		}
	case PeerReceived:
		return l.handlePeerMessage(now, e)
	case Tick:
		return l.tick(now)
	}
	return nil
}

func (l *Limiter) handlePeerMessage(now time.Time, e PeerReceived) []Effect {
	delete(l.lost, e.From)
	switch m := e.Message.(type) {
	case peermessenger.QuotaAsk:
		return l.handleQuotaAsk(now, e.From, m)
	case peermessenger.QuotaGive:
		return l.handleQuotaGive(e.From, m)
	}
	return nil
}

func (l *Limiter) tick(now time.Time) []Effect {
	if len(l.queues) > l.opts.MaxQueues/2 {
		l.evictIdle()
	}
	freed := l.applyPendingShares(now)
	effects := l.sendDeferred(now)
	effects = append(effects, l.askForShares(now)...)
	effects = append(effects, l.resendTransfers(now)...)
	if freed || len(l.parked) > 0 {
		effects = append(effects, QuotaFreed{})
	}
	return effects
}
