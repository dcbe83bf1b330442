package quarantiner

import "math/rand/v2"

// Options configure a Quarantiner.
type Options struct {
	Rand *rand.Rand
}
