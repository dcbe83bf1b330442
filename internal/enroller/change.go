package enroller

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// startChange starts a change of the roster if one is needed: it reads the
// store's value, and handleRosterRead then decides.
func (e *Enroller) startChange(now time.Time) []Effect {
	if e.storeCallInFlight || now.Before(e.retryAt) || e.awaitsListing(now) {
		return nil
	}
	if !e.needsRead(now) {
		return nil
	}
	e.storeCallInFlight = true
	return []Effect{ReadRoster{}}
}

// needsRead reports whether the store must be read: there is no roster, a later
// one exists or may exist, or the current one needs a change.
func (e *Enroller) needsRead(now time.Time) bool {
	if e.roster == nil {
		return !e.leaving
	}
	if e.latestSeenEpoch > e.roster.Epoch || e.allOthersSilent(now) {
		return true
	}
	_, ok := e.proposal(now, e.roster)
	return ok
}

// allOthersSilent reports whether all other members have been silent for
// SuspectAfter. They may have been replaced by members that this one does not
// know.
func (e *Enroller) allOthersSilent(now time.Time) bool {
	others := len(e.lastHeard) - 1
	return others > 0 && len(e.silentSince(now.Add(-e.opts.SuspectAfter))) >= others
}

// awaitsListing reports whether this member still waits, for at most ListWait
// after its first event, to see its VM on the platform's list. An entry that is
// marked as listed lets other members prove later that the VM was deleted, even
// those that have never seen it listed.
func (e *Enroller) awaitsListing(now time.Time) bool {
	return !e.list.readAt.IsZero() && !e.list.wasListed(e.opts.Self.VM) && now.Sub(e.bootedAt) < e.opts.ListWait
}

func (e *Enroller) handleRosterRead(now time.Time, event RosterRead) (effects []Effect) {
	e.storeCallInFlight = false
	e.storeFailures = 0
	if event.Roster == nil {
		if e.leaving || e.roster != nil {
			e.scheduleRetry(now) // a roster that was lost from the store is not created again
			return nil
		}
		first := NewRoster(now, e.opts.Domain, []RosterMember{e.ownEntry()})
		return e.startSwap(event.Revision, first)
	}
	effects = e.adoptRoster(now, event.Roster)
	if event.Roster.Epoch != e.epoch() {
		e.scheduleRetry(now) // a stale value
		return effects
	}
	next, ok := e.proposal(now, e.roster)
	if !ok {
		e.retryAt = now.Add(e.opts.RetryMax)
		return effects
	}
	return append(effects, e.startSwap(event.Revision, next)...)
}

func (e *Enroller) startSwap(expected Revision, r *Roster) []Effect {
	e.storeCallInFlight = true
	e.proposed = r
	return []Effect{SwapRoster{Expected: expected, Roster: r}}
}

func (e *Enroller) handleSwapSucceeded(now time.Time) []Effect {
	e.storeCallInFlight = false
	e.storeFailures = 0
	return e.adoptRoster(now, e.proposed)
}

func (e *Enroller) scheduleRetry(now time.Time) {
	e.storeCallInFlight = false
	e.proposed = nil
	delay := min(e.opts.RetryBase<<min(e.storeFailures, 16), e.opts.RetryMax)
	e.storeFailures++
	jitter := time.Duration(e.opts.Rand.Int64N(int64(delay)))
	e.retryAt = now.Add(delay/2 + jitter)
}

func (e *Enroller) ownEntry() RosterMember {
	return RosterMember{Member: e.opts.Self, Address: e.opts.Address, Listed: e.list.wasListed(e.opts.Self.VM)}
}

// proposal returns the roster that should follow r, if r needs a change.
func (e *Enroller) proposal(now time.Time, r *Roster) (next *Roster, ok bool) {
	members := slices.Clone(r.Members)
	changed := e.updateOwnEntry(&members)
	for _, m := range e.removableMembers(now, r) {
		members = slices.DeleteFunc(members, func(entry RosterMember) bool { return entry.Member == m })
		changed = true
	}
	if !changed {
		return nil, false
	}
	next, ok = r.Next(now, members, e.allCaughtUp(r))
	if !ok {
		return nil, false
	}
	if _, err := EncodeRoster(next); err != nil {
		return nil, false // too large for the store, handled like a full history
	}
	return next, true
}

// updateOwnEntry adds or updates this member's entry.
func (e *Enroller) updateOwnEntry(members *[]RosterMember) (changed bool) {
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
		*members = append(slices.DeleteFunc(*members, older), e.ownEntry())
		return true
	case i >= 0 && e.leaving && !(*members)[i].Leaving:
		(*members)[i].Leaving = true
		return true
	case i >= 0 && !(*members)[i].Listed && e.list.wasListed(e.opts.Self.VM):
		(*members)[i].Listed = true // the list has shown this VM only after it joined
		return true
	}
	return false
}

// removableMembers returns the members that this member may remove now. A
// member that hears less than half of the roster removes only VMs that are also
// missing from the platform's list, since its own links may have failed. The
// members that are heard take turns, so that they don't all call the store at
// once.
func (e *Enroller) removableMembers(now time.Time, r *Roster) (members []identifier.Member) {
	if _, ok := r.Find(e.opts.Self); !ok {
		return nil
	}
	suspects := e.silentSince(now.Add(-e.opts.SuspectAfter))
	turn := time.Duration(e.removalTurn(r, suspects)) * e.opts.HeartbeatInterval
	isolated := 2*(len(r.Members)-len(suspects)) < len(r.Members)
	for _, m := range suspects {
		if _, ok := r.Find(m); !ok || now.Sub(e.lastHeard[m]) < e.opts.SuspectAfter+turn {
			continue
		}
		if !isolated || e.list.isMissing(m.VM) {
			members = append(members, m)
		}
	}
	return members
}

// removalTurn returns this member's position among the members that are heard,
// from 0.
func (e *Enroller) removalTurn(r *Roster, suspects []identifier.Member) (turn int) {
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

// allCaughtUp reports whether r has members that are not leaving, and all of them
// have reported that they have caught up in the epoch of r.
func (e *Enroller) allCaughtUp(r *Roster) bool {
	staying := 0
	for _, entry := range r.Members {
		if entry.Leaving {
			continue
		}
		staying++
		if e.caughtUpEpochs[entry.Member] < r.Epoch {
			return false
		}
	}
	return staying > 0
}

// silentSince returns the other members of the roster that were not heard since
// t.
func (e *Enroller) silentSince(t time.Time) (silent []identifier.Member) {
	for _, m := range sortedMembers(e.lastHeard) {
		if m != e.opts.Self && e.lastHeard[m].Before(t) {
			silent = append(silent, m)
		}
	}
	return silent
}
