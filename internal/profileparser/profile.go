package profileparser

import (
	"maps"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Profile states how jobs of one kind are treated.
type Profile struct {
	Name           identifier.ProfileName               `cbor:"1,keyasint"`
	Description    string                               `cbor:"2,keyasint,omitempty"`
	Deadline       time.Duration                        `cbor:"3,keyasint"` // of a job that states none, from its arrival; also the longest that a job may state
	MaxTasks       int                                  `cbor:"4,keyasint"` // of one job
	Priority       int                                  `cbor:"5,keyasint"` // higher is served first
	Weight         int                                  `cbor:"6,keyasint"` // share among the profiles of one priority
	Quotas         map[identifier.Team]identifier.Slots `cbor:"7,keyasint,omitempty"`
	DefaultQuota   identifier.Slots                     `cbor:"8,keyasint"`  // of a team that Quotas doesn't name
	Repeatable     bool                                 `cbor:"9,keyasint"`  // false: each job is treated as unrepeatable
	RetryBudget    float64                              `cbor:"10,keyasint"` // placements after a refused start, as a fraction of starts
	QueueBound     int                                  `cbor:"11,keyasint"` // tasks that wait on one entry VM
	Cancellation   Cancellation                         `cbor:"12,keyasint"`
	Placement      Placement                            `cbor:"13,keyasint"`
	WhileStoreDown Reachability                         `cbor:"14,keyasint"` // what new jobs get while the store is out of reach
	WhileCutOff    Reachability                         `cbor:"15,keyasint"` // what new jobs get while no other failure domain can be reached
	Objective      Objective                            `cbor:"16,keyasint"`
	Retired        bool                                 `cbor:"17,keyasint,omitempty"` // running work ends; new work is refused
}

// Quota returns the slots that a team may hold at once.
func (p Profile) Quota(team identifier.Team) identifier.Slots {
	if quota, ok := p.Quotas[team]; ok {
		return quota
	}
	return p.DefaultQuota
}

// Equal reports whether two profiles say the same.
func (p Profile) Equal(other Profile) bool {
	if !maps.Equal(p.Quotas, other.Quotas) {
		return false
	}
	return p.scalars() == other.scalars()
}

// scalars is the comparable part of a profile.
type scalars struct {
	name                        identifier.ProfileName
	description                 string
	deadline                    time.Duration
	maxTasks, priority, weight  int
	defaultQuota                identifier.Slots
	repeatable                  bool
	retryBudget                 float64
	queueBound                  int
	cancellation                Cancellation
	placement                   Placement
	whileStoreDown, whileCutOff Reachability
	objective                   Objective
	retired                     bool
}

func (p Profile) scalars() scalars {
	return scalars{
		p.Name, p.Description, p.Deadline, p.MaxTasks, p.Priority, p.Weight, p.DefaultQuota,
		p.Repeatable, p.RetryBudget, p.QueueBound, p.Cancellation, p.Placement,
		p.WhileStoreDown, p.WhileCutOff, p.Objective, p.Retired,
	}
}
