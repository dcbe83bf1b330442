package runner

import (
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// adoptProfiles puts profiles in force.
func (r *Runner) adoptProfiles(profiles []profileparser.Profile) {
	byName := make(map[identifier.ProfileName]profileparser.Profile, len(profiles))
	for _, p := range profiles {
		byName[p.Name] = p
	}
	r.dispatchRing.put(dispatcher.ProfilesAdopted{Profiles: byName})
}
