package profileparser

import (
	"maps"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Profile declares how jobs of one kind are handled.
type Profile struct {
	Name           identifier.ProfileName               `cbor:"1,keyasint"`
	Description    string                               `cbor:"2,keyasint,omitempty"`
	Deadline       time.Duration                        `cbor:"3,keyasint"` // from a job's arrival: the default for jobs that state none, and the longest that a job may state
	MaxTasks       int                                  `cbor:"4,keyasint"` // per job
	Priority       int                                  `cbor:"5,keyasint"` // a higher priority is served first
	Weight         int                                  `cbor:"6,keyasint"` // share relative to other profiles of the same priority
	Quotas         map[identifier.Team]identifier.Slots `cbor:"7,keyasint,omitempty"`
	DefaultQuota   identifier.Slots                     `cbor:"8,keyasint"`  // of a team that is not in Quotas
	Repeatable     bool                                 `cbor:"9,keyasint"`  // false: every job is unrepeatable (must run at most once), whatever its caller states
	RetryFraction  float64                              `cbor:"10,keyasint"` // retries after refused starts, as a fraction of started tasks
	QueueBound     int                                  `cbor:"11,keyasint"` // tasks that may wait on one entry VM
	Cancellation   Cancellation                         `cbor:"12,keyasint"`
	Placement      Placement                            `cbor:"13,keyasint"`
	WhileStoreDown UnreachableAction                    `cbor:"14,keyasint"` // how new jobs are handled while the store is unreachable
	WhileCutOff    UnreachableAction                    `cbor:"15,keyasint"` // how new jobs are handled while no other failure domain is reachable
	Objective      Objective                            `cbor:"16,keyasint"`
	Retired        bool                                 `cbor:"17,keyasint,omitempty"` // running jobs finish; new jobs are refused
}

// Quota returns the maximum number of slots that a team may hold at a time.
func (p Profile) Quota(team identifier.Team) identifier.Slots {
	if quota, ok := p.Quotas[team]; ok {
		return quota
	}
	return p.DefaultQuota
}

// Equal reports whether two profiles are equal in every field.
func (p Profile) Equal(other Profile) bool {
	if !maps.Equal(p.Quotas, other.Quotas) {
		return false
	}
	return p.scalars() == other.scalars()
}

// scalars holds the fields of a profile that can be compared with ==.
type scalars struct {
	name                        identifier.ProfileName
	description                 string
	deadline                    time.Duration
	maxTasks, priority, weight  int
	defaultQuota                identifier.Slots
	repeatable                  bool
	retryFraction               float64
	queueBound                  int
	cancellation                Cancellation
	placement                   Placement
	whileStoreDown, whileCutOff UnreachableAction
	objective                   Objective
	retired                     bool
}

func (p Profile) scalars() scalars {
	return scalars{
		p.Name, p.Description, p.Deadline, p.MaxTasks, p.Priority, p.Weight, p.DefaultQuota,
		p.Repeatable, p.RetryFraction, p.QueueBound, p.Cancellation, p.Placement,
		p.WhileStoreDown, p.WhileCutOff, p.Objective, p.Retired,
	}
}
