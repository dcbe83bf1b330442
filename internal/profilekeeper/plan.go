package profilekeeper

import (
	"cmp"
	"slices"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Plan returns the operations that make a book agree with declared profiles, in
// the order of their names. A profile declared as retired is retired. Profiles
// that aren't declared stay as they are, or are retired if prune is set.
func (b Book) Plan(declared []profileparser.Profile, prune bool) []Operation {
	declared = slices.Clone(declared)
	slices.SortFunc(declared, func(x, y profileparser.Profile) int { return cmp.Compare(x.Name, y.Name) })
	var operations []Operation
	names := make(map[identifier.ProfileName]bool, len(declared))
	for _, p := range declared {
		names[p.Name] = true
		if o := b.planOne(p); o != nil {
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

// planOne returns the operation for one declared profile, or nil for none.
func (b Book) planOne(p profileparser.Profile) Operation {
	e, known := b.Profile(p.Name)
	switch {
	case p.Retired && (!known || e.Profile.Retired):
		return nil
	case p.Retired:
		return RetireProfile{Name: p.Name, Base: e.Version}
	case !known || e.Profile.Retired:
		return CreateProfile{Profile: p} // refused if the name is a retired one
	case e.Profile.Equal(p):
		return nil
	}
	return ChangeProfile{Profile: p, Base: e.Version}
}
