package profilekeeper

import (
	"cmp"
	"slices"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Plan returns the operations that reconcile the book with the declared profiles,
// ordered by profile name, with any pruning last. A profile declared as retired
// is retired. Undeclared profiles are retired if prune is set, and left unchanged
// otherwise.
func (b Book) Plan(declared []profileparser.Profile, prune bool) []Operation {
	declared = slices.Clone(declared)
	slices.SortFunc(declared, func(x, y profileparser.Profile) int { return cmp.Compare(x.Name, y.Name) })
	var operations []Operation
	names := make(map[identifier.ProfileName]bool, len(declared))
	for _, p := range declared {
		names[p.Name] = true
		if o := b.profileOperation(p); o != nil {
			operations = append(operations, o)
		}
	}
	for _, e := range b.Profiles {
		if prune && !names[e.Profile.Name] && !e.Profile.Retired {
			operations = append(operations, RetireProfile{Name: e.Profile.Name, Base: e.Version})
		}
	}
	return operations
}

// profileOperation returns the operation for one declared profile, or nil if the
// book already matches.
func (b Book) profileOperation(p profileparser.Profile) Operation {
	e, known := b.Profile(p.Name)
	switch {
	case p.Retired && (!known || e.Profile.Retired):
		return nil
	case p.Retired:
		return RetireProfile{Name: p.Name, Base: e.Version}
	case !known || e.Profile.Retired:
		return CreateProfile{Profile: p} // Apply refuses it if the name is retired
	case e.Profile.Equal(p):
		return nil
	}
	return ChangeProfile{Profile: p, Base: e.Version}
}
