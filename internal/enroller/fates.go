package enroller

import (
	"time"
)

// maxFollowed bounds the members whose end is watched for.
const maxFollowed = 4096

// fate is what is known of a member seen on a roster.
type fate struct {
	gone     bool // its process has ended, and this was reported
	replaced bool // a later process on its VM was heard
	listed   bool // the platform's list has shown its VM to it
}

// follow watches for the end of the members of a roster and its history.
func (e *Enroller) follow(r *Roster) {
	if len(e.fates) > maxFollowed {
		e.forgetGone()
	}
	for _, entry := range r.Members {
		e.followMember(entry)
	}
	for _, past := range r.History {
		for _, entry := range past.Members {
			e.followMember(entry)
		}
	}
}

func (e *Enroller) followMember(entry RosterMember) {
	f, ok := e.fates[entry.Member]
	if !ok && len(e.fates) >= maxFollowed {
		return
	}
	f.listed = f.listed || entry.Listed
	e.fates[entry.Member] = f
}

func (e *Enroller) forgetGone() {
	for m, f := range e.fates {
		if f.gone {
			delete(e.fates, m)
		}
	}
}

// findGone reports the members whose processes are proved to have ended.
func (e *Enroller) findGone(now time.Time) (effects []Effect) {
	if e.roster == nil {
		return nil
	}
	for _, m := range sortedMembers(e.fates) {
		f := e.fates[m]
		if f.gone || m == e.opts.Self {
			continue
		}
		if f.listed {
			e.list.shown(now, m.VM)
		}
		if f.replaced || e.roster.Replaced(m) || e.list.deleted(m.VM, e.opts.GoneAfter) {
			f.gone = true
			e.fates[m] = f
			effects = append(effects, MemberGone{Member: m})
		}
	}
	return effects
}
