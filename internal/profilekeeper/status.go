package profilekeeper

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Status describes the book in force on one VM and how recently the store
// confirmed that it is current.
type Status struct {
	Version     identifier.ProfileVersion `json:"version"`
	Chain       Chain                     `json:"chain"`
	Verified    bool                      `json:"verified"`    // the store has confirmed the version, directly or through peers
	AgeMillis   int64                     `json:"ageMillis"`   // since that confirmation; 0 if not verified
	Watching    bool                      `json:"watching"`    // this VM watches the store for its failure domain
	DomainPeers int                       `json:"domainPeers"` // linked peers of this VM's failure domain
	Counters    Counters                  `json:"counters"`
}

// Status returns the status at the given time.
func (k *Keeper) Status(now time.Time) Status {
	return Status{
		Version:     k.book.Version,
		Chain:       k.book.Chain,
		Verified:    !k.confirmedAt.IsZero(),
		AgeMillis:   max(0, k.confirmationAge(now)).Milliseconds(),
		Watching:    k.watch.healthy,
		DomainPeers: len(k.domainPeers),
		Counters:    k.counters,
	}
}
