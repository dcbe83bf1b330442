package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// loss records that a backend server could not be reached.
type loss struct {
	backend identifier.BackendID
	at      time.Time
}

// handleLoss records a backend server that could not be reached. When
// rackLossThreshold servers of a rack are lost within rackLossWindow, the others of
// the rack are put on probation.
func (q *Quarantiner) handleLoss(now time.Time, id identifier.BackendID) {
	rack, ok := q.racks[id]
	if !ok || rack == "" {
		return
	}
	losses := slices.DeleteFunc(q.losses[rack], func(l loss) bool {
		return l.backend == id || now.Sub(l.at) > rackLossWindow
	})
	if len(losses) < maxRackLosses {
		losses = append(losses, loss{backend: id, at: now})
	}
	q.losses[rack] = losses
	if len(losses) >= rackLossThreshold {
		q.putRackOnProbation(now, rack)
	}
}

func (q *Quarantiner) putRackOnProbation(now time.Time, rack identifier.RackID) {
	var ids []identifier.BackendID
	for id, r := range q.racks {
		if r == rack && q.suspects[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b identifier.BackendID) int { return strings.Compare(string(a), string(b)) })
	for _, id := range ids {
		if len(q.suspects) >= maxSuspects {
			return
		}
		q.suspects[id] = &suspect{backend: id, phase: probation}
		q.effects = append(q.effects, LimitTasks{Backend: id, Tasks: 1})
	}
}
