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
	minAskInterval = 50 * time.Millisecond // between wishes for one quota
	maxAskInterval = 2 * time.Second       // bound of its doubling
	maxWishes      = 512                   // in one message
	maxAsks        = 8                     // VMs asked at once for a part that is due
)

// setMembers divides the quotas anew.
func (l *Limiter) setMembers(now time.Time, members []identifier.Member) {
	next := newDivision(members)
	if next.hash == l.division.hash && len(next.members) == len(l.division.members) {
		return
	}
	l.earlier = l.division
	l.division = next
	l.members = max(1, len(members))
	alone := len(l.earlier.members) == 0 && len(members) == 1
	l.settledAt = now.Add(quotaSettleTime)
	if alone {
		l.settledAt = now
	}
	for _, ln := range l.sortedLanes() {
		l.divide(now, ln, l.settledAt)
		l.reorder(ln.team)
	}
}

// setQuota puts a quota in force on a lane.
func (l *Limiter) setQuota(now time.Time, ln *lane, quota identifier.Slots) {
	if ln.quota == quota {
		return
	}
	fresh := ln.quota == 0
	ln.quota = quota
	if fresh {
		ln.share.allowed = l.earlier.base(ln.key, quota, l.opts.Self)
		l.divide(now, ln, l.settledAt)
	} else {
		l.divide(now, ln, now.Add(quotaSettleTime))
	}
	l.reorder(ln.team)
}

// divide gives a lane its share in the division in force. Until it is settled,
// the share is no greater than before.
func (l *Limiter) divide(now time.Time, ln *lane, settledAt time.Time) {
	if ln.quota == 0 {
		return
	}
	ln.share = quotaShare{
		division:  l.division.name(ln.quota),
		base:      ln.quota,
		earlier:   ln.share.allowed,
		settling:  now.Before(settledAt),
		settledAt: settledAt,
		cursor:    int(weight(ln.key, l.opts.Self) >> 1),
	}
	if len(l.division.members) > 0 {
		ln.share.base = l.division.base(ln.key, ln.quota, l.opts.Self)
	}
	ln.share.recount()
	if ln.share.settling {
		l.settling = append(l.settling, ln)
	}
}

// settleShares lets the lanes use their new shares whose time has come.
func (l *Limiter) settleShares(now time.Time) (freed bool) {
	l.settling = slices.DeleteFunc(l.settling, func(ln *lane) bool {
		if ln.share.settling && now.Before(ln.share.settledAt) {
			return false
		}
		if ln.share.settling {
			ln.share.settling = false
			ln.share.recount()
			l.reorder(ln.team)
			freed = true
		}
		return true
	})
	return freed
}

func (l *Limiter) sortedLanes() []*lane {
	lanes := make([]*lane, 0, len(l.lanes))
	for _, ln := range l.lanes {
		lanes = append(lanes, ln)
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		return cmp.Or(strings.Compare(string(a.key.team), string(b.key.team)), strings.Compare(string(a.key.profile), string(b.key.profile)))
	})
	return lanes
}

// askForShares asks other VMs for parts of the quotas that hold back queued
// tasks here, in one message a VM.
func (l *Limiter) askForShares(now time.Time) []Effect {
	reachable := l.reachable()
	if len(reachable) == 0 || now.Before(l.askAt) {
		return nil
	}
	l.askAt = now.Add(minAskInterval / 2)
	wishes := l.confirms
	l.confirms = make(map[identifier.Member][]peermessenger.QuotaWish)
	for _, ln := range l.heldBack(now) {
		q := &ln.share
		q.askAt = now.Add(min(maxAskInterval, minAskInterval<<min(q.misses, 10)))
		q.misses++
		for range min(len(reachable), q.asks()) {
			to := reachable[q.cursor%len(reachable)]
			q.cursor++
			if len(wishes[to]) < maxWishes {
				wishes[to] = append(wishes[to], ln.wish(to, min(identifier.Slots(ln.queued), ln.quota-q.allowed)))
			}
		}
	}
	var effects []Effect
	for _, to := range l.division.members {
		if len(wishes[to]) > 0 {
			effects = append(effects, Send{To: to, Message: peermessenger.QuotaAsk{Wishes: wishes[to]}})
		}
	}
	return effects
}

// heldBack returns the lanes with queued tasks that only the share holds back,
// and for which it is time to ask.
func (l *Limiter) heldBack(now time.Time) []*lane {
	var lanes []*lane
	for _, ln := range l.lanes {
		if ln.quota > 0 && ln.queued > 0 && ln.running >= ln.share.usable() && ln.share.allowed < ln.quota && !now.Before(ln.share.askAt) {
			lanes = append(lanes, ln)
		}
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		return cmp.Or(strings.Compare(string(a.key.team), string(b.key.team)), strings.Compare(string(a.key.profile), string(b.key.profile)))
	})
	return lanes
}

func (l *Limiter) reachable() []identifier.Member {
	var members []identifier.Member
	for _, m := range l.division.members {
		if m != l.opts.Self && !l.lost[m] {
			members = append(members, m)
		}
	}
	return members
}

// quotaAsked gives the asking VM what it can have of each quota, and repeats
// the totals that it has not got yet.
func (l *Limiter) quotaAsked(now time.Time, from identifier.Member, m peermessenger.QuotaAsk) []Effect {
	if !slices.Contains(l.division.members, from) {
		return nil
	}
	var gifts []peermessenger.QuotaGift
	for _, wish := range m.Wishes {
		ln := l.wishedLane(now, wish)
		if ln == nil {
			continue
		}
		ln.share.confirm(from, wish.Got)
		l.grantWish(now, ln, from, wish)
		if total := ln.share.given[from]; total > wish.Got {
			gifts = append(gifts, peermessenger.QuotaGift{Name: wish.Name, Total: total})
		}
	}
	if len(gifts) == 0 {
		return nil
	}
	return []Effect{Send{To: from, Message: peermessenger.QuotaGive{Gifts: gifts}}}
}

// grantWish gives half of what is to spare. A VM that has less than its base
// also gets what this one has beyond its own, as soon as tasks here end.
func (l *Limiter) grantWish(now time.Time, ln *lane, from identifier.Member, wish peermessenger.QuotaWish) {
	q := &ln.share
	n := min(wish.Wanted, (ln.spare()+1)/2)
	l.give(now, ln, from, n)
	below := l.division.base(ln.key, ln.quota, from) - wish.Share - n
	due := min(wish.Wanted-n, below, q.allowed-q.base)
	if due <= 0 || q.owed > 0 {
		return
	}
	q.owed, q.owedTo = due, from
	l.debts = append(l.debts, ln)
	l.reorder(ln.team)
}

func (l *Limiter) give(now time.Time, ln *lane, to identifier.Member, n identifier.Slots) {
	if n <= 0 {
		return
	}
	ln.share.give(to, n)
	l.expectConfirm(now, ln, to)
	l.reorder(ln.team)
}

// payDebts gives what is owed, as far as ended tasks allow.
func (l *Limiter) payDebts(now time.Time) []Effect {
	var effects []Effect
	l.debts = slices.DeleteFunc(l.debts, func(ln *lane) bool {
		q := &ln.share
		n := min(q.owed, q.allowed-ln.running)
		if n <= 0 {
			return q.owed == 0
		}
		q.owed -= n
		l.give(now, ln, q.owedTo, n)
		effects = append(effects, Send{To: q.owedTo, Message: peermessenger.QuotaGive{Gifts: []peermessenger.QuotaGift{
			{Name: ln.quotaName(), Total: q.given[q.owedTo]},
		}}})
		return q.owed == 0
	})
	return effects
}

// wishedLane returns the lane of a wish, or nil when the wish belongs to
// another division.
func (l *Limiter) wishedLane(now time.Time, wish peermessenger.QuotaWish) *lane {
	if wish.Quota <= 0 || wish.Name.Division != l.division.name(wish.Quota) {
		return nil
	}
	ln := l.lane(laneKey{team: wish.Name.Team, profile: wish.Name.Profile})
	if ln == nil {
		return nil
	}
	if ln.quota == 0 && ln.open == 0 {
		l.setQuota(now, ln, wish.Quota)
	}
	if ln.quota != wish.Quota {
		return nil
	}
	return ln
}

func (l *Limiter) quotaGiven(from identifier.Member, m peermessenger.QuotaGive) []Effect {
	freed := false
	for _, gift := range m.Gifts {
		ln, ok := l.lanes[laneKey{team: gift.Name.Team, profile: gift.Name.Profile}]
		if !ok || ln.quotaName() != gift.Name {
			continue
		}
		if ln.share.receive(from, gift.Total) {
			l.reorder(ln.team)
			freed = true
		}
		l.confirmGift(from, ln)
	}
	if !freed {
		return nil
	}
	return []Effect{QuotaFreed{}}
}

// confirmGift has the next message to a giver say what this VM has got.
func (l *Limiter) confirmGift(giver identifier.Member, ln *lane) {
	if len(l.confirms[giver]) < maxWishes {
		l.confirms[giver] = append(l.confirms[giver], ln.wish(giver, 0))
	}
}

// wish asks another VM for a part of its share.
func (l *lane) wish(to identifier.Member, wanted identifier.Slots) peermessenger.QuotaWish {
	return peermessenger.QuotaWish{
		Name:   l.quotaName(),
		Quota:  l.quota,
		Wanted: wanted,
		Got:    l.share.got[to],
		Share:  l.share.allowed,
	}
}

func (l *lane) quotaName() peermessenger.QuotaName {
	return peermessenger.QuotaName{Team: l.key.team, Profile: l.key.profile, Division: l.share.division}
}

// spare is the part of the share that no task here needs.
func (l *lane) spare() identifier.Slots {
	return max(0, l.share.usable()-l.running-identifier.Slots(l.queued))
}
