package enroller

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// change begins a change of the roster if one is wanted: it reads the store's
// value, on which rosterRead then decides.
func (e *Enroller) change(now time.Time) []Effect {
	if e.busy || now.Before(e.retryAt) || e.awaitsListing(now) {
		return nil
	}
	if !e.wantsRead(now) {
		return nil
	}
	e.busy = true
	return []Effect{ReadRoster{}}
}

// wantsRead reports whether the store has to be read: there is no roster, the
// one in force is not the latest or may not be, or it is to be changed.
func (e *Enroller) wantsRead(now time.Time) bool {
	if e.roster == nil {
		return !e.leaving
	}
	if e.latest > e.roster.Epoch || e.alone(now) {
		return true
	}
	_, ok := e.proposal(now, e.roster)
	return ok
}

// alone reports whether all other members have been silent for long. They may
// have been replaced by members that this one does not know.
func (e *Enroller) alone(now time.Time) bool {
	others := len(e.heard) - 1
	return others > 0 && len(e.silentSince(now.Add(-e.opts.SuspectAfter))) >= others
}

// awaitsListing reports whether this member waits, for some time after its boot,
// for a list that shows its VM. Its entry then lets others prove later that the
// VM was deleted, also those who have never seen it listed.
func (e *Enroller) awaitsListing(now time.Time) bool {
	return !e.list.readAt.IsZero() && !e.list.seen(e.opts.Self.VM) && now.Sub(e.bootedAt) < e.opts.ListWait
}

func (e *Enroller) rosterRead(now time.Time, event RosterRead) (effects []Effect) {
	e.busy = false
	e.failures = 0
	if event.Roster == nil {
		if e.leaving || e.roster != nil {
			e.storeFailed(now) // a roster that was lost from the store is not made anew
			return nil
		}
		first := NewRoster(now, e.opts.Domain, []RosterMember{e.entry()})
		return e.swap(event.Revision, first)
	}
	effects = e.adopt(now, event.Roster)
	if event.Roster.Epoch != e.epoch() {
		e.storeFailed(now) // an old value
		return effects
	}
	next, ok := e.proposal(now, e.roster)
	if !ok {
		e.retryAt = now.Add(e.opts.RetryMax)
		return effects
	}
	return append(effects, e.swap(event.Revision, next)...)
}

func (e *Enroller) swap(expected Revision, r *Roster) []Effect {
	e.busy = true
	e.proposed = r
	return []Effect{SwapRoster{Expected: expected, Roster: r}}
}

func (e *Enroller) swapSucceeded(now time.Time) []Effect {
	e.busy = false
	e.failures = 0
	return e.adopt(now, e.proposed)
}

func (e *Enroller) storeFailed(now time.Time) {
	e.busy = false
	e.proposed = nil
	delay := min(e.opts.RetryBase<<min(e.failures, 16), e.opts.RetryMax)
	e.failures++
	jitter := time.Duration(e.opts.Rand.Int64N(int64(delay)))
	e.retryAt = now.Add(delay/2 + jitter)
}

func (e *Enroller) entry() RosterMember {
	return RosterMember{Member: e.opts.Self, Address: e.opts.Address, Listed: e.list.seen(e.opts.Self.VM)}
}

// proposal returns the roster that should follow r, if any should.
func (e *Enroller) proposal(now time.Time, r *Roster) (next *Roster, ok bool) {
	members := slices.Clone(r.Members)
	changed := e.proposeSelf(&members)
	for _, m := range e.removable(now, r) {
		members = slices.DeleteFunc(members, func(entry RosterMember) bool { return entry.Member == m })
		changed = true
	}
	if !changed {
		return nil, false
	}
	next, ok = r.Next(now, members, e.allWhole(r))
	if !ok {
		return nil, false
	}
	if _, err := EncodeRoster(next); err != nil {
		return nil, false // no room, as with a full history
	}
	return next, true
}

// proposeSelf puts this member's own wish into the list of members.
func (e *Enroller) proposeSelf(members *[]RosterMember) (changed bool) {
	own := func(entry RosterMember) bool { return entry.Member == e.opts.Self }
	older := func(entry RosterMember) bool {
		return entry.Member.VM == e.opts.Self.VM && entry.Member.Incarnation < e.opts.Self.Incarnation
	}
	later := func(entry RosterMember) bool {
		return entry.Member.VM == e.opts.Self.VM && entry.Member.Incarnation > e.opts.Self.Incarnation
	}
	i := slices.IndexFunc(*members, own)
	switch {
	case slices.ContainsFunc(*members, later):
		return false // this process was replaced
	case i < 0 && !e.leaving:
		*members = append(slices.DeleteFunc(*members, older), e.entry())
		return true
	case i >= 0 && e.leaving && !(*members)[i].Leaving:
		(*members)[i].Leaving = true
		return true
	case i >= 0 && !(*members)[i].Listed && e.list.seen(e.opts.Self.VM):
		(*members)[i].Listed = true // the list showed this VM only after it had joined
		return true
	}
	return false
}

// removable returns the members that this member may remove now. A member that
// hears less than half of the roster removes only VMs that the platform's list
// lacks too, since its own links may be what failed. The members that are heard
// take turns, so that they do not all ask the store at once.
func (e *Enroller) removable(now time.Time, r *Roster) (members []identifier.Member) {
	if _, ok := r.Find(e.opts.Self); !ok {
		return nil
	}
	suspects := e.silentSince(now.Add(-e.opts.SuspectAfter))
	turn := time.Duration(e.turn(r, suspects)) * e.opts.HeartbeatInterval
	isolated := 2*(len(r.Members)-len(suspects)) < len(r.Members)
	for _, m := range suspects {
		if _, ok := r.Find(m); !ok || now.Sub(e.heard[m]) < e.opts.SuspectAfter+turn {
			continue
		}
		if !isolated || e.list.lacks(m.VM) {
			members = append(members, m)
		}
	}
	return members
}

// turn returns this member's position among the members that are heard.
func (e *Enroller) turn(r *Roster, suspects []identifier.Member) (turn int) {
	for _, entry := range r.Members {
		if entry.Member == e.opts.Self {
			return turn
		}
		if !slices.Contains(suspects, entry.Member) {
			turn++
		}
	}
	return turn
}

// allWhole reports whether every member of r that holds claims has told that it
// is whole in the epoch of r, and that there is such a member.
func (e *Enroller) allWhole(r *Roster) bool {
	holders := 0
	for _, entry := range r.Members {
		if entry.Leaving {
			continue
		}
		holders++
		if e.whole[entry.Member] < r.Epoch {
			return false
		}
	}
	return holders > 0
}

// silentSince returns the members of the roster that were not heard since t.
func (e *Enroller) silentSince(t time.Time) (silent []identifier.Member) {
	for _, m := range sortedMembers(e.heard) {
		if m != e.opts.Self && e.heard[m].Before(t) {
			silent = append(silent, m)
		}
	}
	return silent
}
