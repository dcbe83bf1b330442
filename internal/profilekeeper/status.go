package profilekeeper

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Status says what is in force on one VM and how it knows.
type Status struct {
	Version     identifier.ProfileVersion `json:"version"`
	Chain       Chain                     `json:"chain"`
	Verified    bool                      `json:"verified"`    // the store has confirmed the version, directly or through peers
	AgeMillis   int64                     `json:"ageMillis"`   // since it did
	Watching    bool                      `json:"watching"`    // watches the store for its failure domain
	DomainPeers int                       `json:"domainPeers"` // linked peers of the own failure domain
	Counters    Counters                  `json:"counters"`
}

// Status returns the status at a time.
func (k *Keeper) Status(now time.Time) Status {
	return Status{
		Version:     k.book.Version,
		Chain:       k.book.Chain,
		Verified:    !k.verifiedAt.IsZero(),
		AgeMillis:   max(0, k.age(now)).Milliseconds(),
		Watching:    k.watch.healthy,
		DomainPeers: len(k.domainPeers),
		Counters:    k.counters,
	}
}
