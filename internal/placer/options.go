package placer

import (
	"math/rand/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Placer.
type Options struct {
	Self    identifier.Member
	Domain  identifier.FailureDomain
	Rand    *rand.Rand
	Default Policy // for wants that name none; nil takes Reserve
}
