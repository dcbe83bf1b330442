package limiter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// giftInterval is the time between two sendings of a gift that its receiver has
// not confirmed.
const giftInterval = time.Second

// pendingGift is a part of a share that was given to another VM, which has not
// confirmed that it got it.
type pendingGift struct {
	lane     *lane
	division uint64
	to       identifier.Member
	sendAt   time.Time
}

// done reports whether the gift is confirmed or belongs to an earlier division.
func (g *pendingGift) done() bool {
	q := &g.lane.share
	return q.division != g.division || q.confirmed[g.to] >= q.given[g.to]
}

func (l *Limiter) expectConfirm(now time.Time, ln *lane, to identifier.Member) {
	known := slices.ContainsFunc(l.gifts, func(g pendingGift) bool { return g.lane == ln && g.to == to && !g.done() })
	if !known {
		l.gifts = append(l.gifts, pendingGift{lane: ln, division: ln.share.division, to: to, sendAt: now.Add(giftInterval)})
	}
}

// repeatGifts sends the gifts again that are not confirmed in time.
func (l *Limiter) repeatGifts(now time.Time) []Effect {
	l.gifts = slices.DeleteFunc(l.gifts, func(g pendingGift) bool { return g.done() })
	due := make(map[identifier.Member][]peermessenger.QuotaGift)
	for i := range l.gifts {
		g := &l.gifts[i]
		if now.Before(g.sendAt) || l.lost[g.to] || len(due[g.to]) >= maxWishes {
			continue
		}
		g.sendAt = now.Add(giftInterval)
		due[g.to] = append(due[g.to], peermessenger.QuotaGift{Name: g.lane.quotaName(), Total: g.lane.share.given[g.to]})
	}
	var effects []Effect
	for _, to := range l.division.members {
		if len(due[to]) > 0 {
			effects = append(effects, Send{To: to, Message: peermessenger.QuotaGive{Gifts: due[to]}})
		}
	}
	return effects
}
