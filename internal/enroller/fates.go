package enroller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// maxFollowed bounds the members whose end is watched for.
const maxFollowed = 4096

// follow watches for the end of the members of a roster and its history.
func (e *Enroller) follow(r *Roster) {
	if len(e.fates) > maxFollowed {
		e.forgetGone()
	}
	for _, entry := range r.Members {
		e.followMember(entry.Member)
	}
	for _, past := range r.History {
		for _, entry := range past.Members {
			e.followMember(entry.Member)
		}
	}
}

func (e *Enroller) followMember(m identifier.Member) {
	if _, ok := e.fates[m]; !ok && len(e.fates) < maxFollowed {
		e.fates[m] = false
	}
}

func (e *Enroller) forgetGone() {
	for m, gone := range e.fates {
		if gone {
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
		if e.fates[m] || m == e.opts.Self {
			continue
		}
		if e.roster.Replaced(m) || e.list.deleted(now, m.VM, e.opts.GoneAfter) {
			e.fates[m] = true
			effects = append(effects, MemberGone{Member: m})
		}
	}
	return effects
}
