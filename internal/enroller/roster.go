// Package enroller keeps the roster of one failure domain: the entry VM
// processes that keep the claim records of its submissions.
//
// The roster is one small value in the platform's store. It is changed by
// compare-and-swap when a member joins, leaves or falls silent, and at no other
// time. Each change starts a new epoch. Between changes, members exchange their
// epochs in heartbeats and pass the roster on to each other, so an unchanged
// roster causes no store calls.
//
// A member has caught up in an epoch when it holds all claim records of its
// shards from the earlier epochs.
package enroller

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of a roster.
const (
	// MaxMembers bounds the members of one failure domain.
	MaxMembers = 256
	// MaxHistory bounds the epochs that a roster remembers. A roster whose
	// history is full is not changed until its members have caught up.
	MaxHistory = 128
)

// Roster lists the members of a failure domain in one epoch. It is immutable.
type Roster struct {
	Domain    identifier.FailureDomain `json:"domain"`
	Epoch     identifier.Epoch         `json:"epoch"`
	Members   []RosterMember           `json:"members"` // sorted by VM, then by incarnation
	Base      identifier.Epoch         `json:"base"`    // the earliest epoch in History, or Epoch; see Next
	History   []PastMembers            `json:"history"` // the epochs from Epoch-1 down to Base
	CreatedAt time.Time                `json:"createdAt"`
}

// RosterMember is one member of a roster.
type RosterMember struct {
	Member  identifier.Member `json:"member"`
	Address string            `json:"address"`           // host:port for peers
	Leaving bool              `json:"leaving,omitempty"` // neither home nor witness of a shard from this epoch on
	Listed  bool              `json:"listed,omitempty"`  // the member has seen its VM on the platform's list
}

// PastMembers lists the members of an earlier epoch.
type PastMembers struct {
	Epoch   identifier.Epoch `json:"epoch"`
	Members []RosterMember   `json:"members"`
}

// Find returns the roster's entry for a member.
func (r *Roster) Find(m identifier.Member) (entry RosterMember, ok bool) {
	for _, entry := range r.Members {
		if entry.Member == m {
			return entry, true
		}
	}
	return RosterMember{}, false
}

// Address returns the address of a member of this or an earlier epoch.
func (r *Roster) Address(m identifier.Member) (address string, ok bool) {
	if entry, ok := r.Find(m); ok {
		return entry.Address, true
	}
	for _, past := range r.History {
		for _, entry := range past.Members {
			if entry.Member == m {
				return entry.Address, true
			}
		}
	}
	return "", false
}

// MembersAt returns the members of an epoch that the roster remembers.
func (r *Roster) MembersAt(epoch identifier.Epoch) (members []RosterMember, ok bool) {
	if epoch == r.Epoch {
		return r.Members, true
	}
	if epoch < r.Base || epoch > r.Epoch {
		return nil, false
	}
	return r.History[r.Epoch-1-epoch].Members, true
}

// Replaced reports whether the roster or its history has a later incarnation on
// the VM of m, which proves that m has terminated.
func (r *Roster) Replaced(m identifier.Member) bool {
	later := func(entry RosterMember) bool {
		return entry.Member.VM == m.VM && entry.Member.Incarnation > m.Incarnation
	}
	if slices.ContainsFunc(r.Members, later) {
		return true
	}
	return slices.ContainsFunc(r.History, func(past PastMembers) bool {
		return slices.ContainsFunc(past.Members, later)
	})
}

// Next returns the roster of the following epoch. caughtUp says that every
// member of r that is not leaving holds all records of its shards: then the new
// roster needs no epoch before r, and r becomes the base. Next returns false
// when the roster has no room for a change.
func (r *Roster) Next(now time.Time, members []RosterMember, caughtUp bool) (next *Roster, ok bool) {
	past := []PastMembers{{Epoch: r.Epoch, Members: r.Members}}
	base := r.Epoch
	if !caughtUp {
		past = append(past, r.History...)
		base = r.Base
	}
	if len(past) > MaxHistory || len(members) > MaxMembers {
		return nil, false
	}
	return &Roster{
		Domain:    r.Domain,
		Epoch:     r.Epoch + 1,
		Members:   sorted(members),
		Base:      base,
		History:   past,
		CreatedAt: now,
	}, true
}

// NewRoster returns the first roster of a failure domain.
func NewRoster(now time.Time, domain identifier.FailureDomain, members []RosterMember) *Roster {
	return &Roster{Domain: domain, Epoch: 1, Members: sorted(members), Base: 1, CreatedAt: now}
}

func sorted(members []RosterMember) []RosterMember {
	s := slices.Clone(members)
	slices.SortFunc(s, func(a, b RosterMember) int { return compareMembers(a.Member, b.Member) })
	return s
}
