// Package evacuator keeps which failure domains are evacuated: their backend servers get
// no new tasks until the operator takes the evacuation back.
//
// VMs read the list from the store, and tell it to each other for those that the store
// doesn't serve. The store's revision orders what is heard, so that an old copy never
// replaces a newer one.
package evacuator

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// List is the set of evacuated failure domains that the store had at a revision.
type List struct {
	Revision uint64
	Domains  []identifier.FailureDomain
}

// Source says where a VM has learned a list.
type Source string

// The sources of a list.
const (
	FromStore Source = "store"
	FromPeer  Source = "peer"
)

// Change is how a list differs from the one in force before.
type Change struct {
	Evacuated []identifier.FailureDomain // sorted
	TakenBack []identifier.FailureDomain // sorted
}

// Empty reports whether nothing has changed.
func (c Change) Empty() bool { return len(c.Evacuated) == 0 && len(c.TakenBack) == 0 }

// State is what one VM knows. Its zero value knows no list.
type State struct {
	list      List
	everInUse bool
}

// Update puts a list in force unless a newer one is, and returns what that changes.
// Lists of one revision are equal, except that the store's own word wins.
func (s *State) Update(l List, from Source) Change {
	if l.Revision < s.list.Revision || from == FromPeer && l.Revision == s.list.Revision {
		return Change{}
	}
	next := slices.Compact(slices.Sorted(slices.Values(l.Domains)))
	var c Change
	for _, d := range next {
		if !s.Evacuated(d) {
			c.Evacuated = append(c.Evacuated, d)
		}
	}
	for _, d := range s.list.Domains {
		if !slices.Contains(next, d) {
			c.TakenBack = append(c.TakenBack, d)
		}
	}
	s.list = List{Revision: l.Revision, Domains: next}
	s.everInUse = s.everInUse || len(next) > 0
	return c
}

// Evacuated reports whether a failure domain is evacuated.
func (s *State) Evacuated(d identifier.FailureDomain) bool {
	return slices.Contains(s.list.Domains, d)
}

// Domains returns the evacuated failure domains, sorted. The caller must not change them.
func (s *State) Domains() []identifier.FailureDomain { return s.list.Domains }

// Told returns the list to tell peers, and whether there is anything to tell. Where
// nothing has been evacuated since this VM started, as far as it has heard, there is not.
func (s *State) Told() (List, bool) { return s.list, s.everInUse }

// Outdates reports whether a peer that told a list has yet to hear of this VM's, and
// makes this VM tell it.
func (s *State) Outdates(told List) bool {
	if told.Revision >= s.list.Revision || slices.Equal(told.Domains, s.list.Domains) {
		return false
	}
	s.everInUse = true
	return true
}
