package placer

import (
	"math/rand/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Placer.
type Options struct {
	Self          identifier.Member
	Domain        identifier.FailureDomain
	Rand          *rand.Rand
	DefaultPolicy Policy // of a task without one; nil takes Reserve
}
