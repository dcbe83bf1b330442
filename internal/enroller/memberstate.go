package enroller

import (
	"time"
)

// maxTrackedMembers bounds the members whose termination is tracked.
const maxTrackedMembers = 4096

// memberState is what is known of a member seen on a roster.
type memberState struct {
	terminated bool // its process is proved to have ended, and this was reported
	replaced   bool // a later process on its VM was heard
	listed     bool // the member has seen its VM on the platform's list
}

// trackMembers starts to track the members of a roster and its history.
func (e *Enroller) trackMembers(r *Roster) {
	if len(e.memberStates) > maxTrackedMembers {
		e.forgetTerminated()
	}
	for _, entry := range r.Members {
		e.trackMember(entry)
	}
	for _, past := range r.History {
		for _, entry := range past.Members {
			e.trackMember(entry)
		}
	}
}

func (e *Enroller) trackMember(entry RosterMember) {
	state, ok := e.memberStates[entry.Member]
	if !ok && len(e.memberStates) >= maxTrackedMembers {
		return
	}
	state.listed = state.listed || entry.Listed
	e.memberStates[entry.Member] = state
}

func (e *Enroller) forgetTerminated() {
	for m, state := range e.memberStates {
		if state.terminated {
			delete(e.memberStates, m)
		}
	}
}

// reportTerminated reports the members whose processes are proved to have
// ended.
func (e *Enroller) reportTerminated(now time.Time) (effects []Effect) {
	if e.roster == nil {
		return nil
	}
	for _, m := range sortedMembers(e.memberStates) {
		state := e.memberStates[m]
		if state.terminated || m == e.opts.Self {
			continue
		}
		if state.listed {
			e.list.markMissingUnlessListed(now, m.VM)
		}
		if state.replaced || e.roster.Replaced(m) || e.list.isDeleted(m.VM, e.opts.DeletedAfter) {
			state.terminated = true
			e.memberStates[m] = state
			effects = append(effects, MemberTerminated{Member: m})
		}
	}
	return effects
}
