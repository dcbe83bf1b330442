package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// unreachableBackend records when a backend server could not be reached.
type unreachableBackend struct {
	backend identifier.BackendID
	at      time.Time
}

// handleUnreachable records a backend server that could not be reached. When
// rackUnreachableThreshold servers of a rack can't be reached within
// rackUnreachableWindow, the others of the rack are put on probation.
func (q *Quarantiner) handleUnreachable(now time.Time, id identifier.BackendID) {
	rack, ok := q.racks[id]
	if !ok || rack == "" {
		return
	}
	unreachable := slices.DeleteFunc(q.unreachable[rack], func(u unreachableBackend) bool {
		return u.backend == id || now.Sub(u.at) > rackUnreachableWindow
	})
	if len(unreachable) < maxRackUnreachable {
		unreachable = append(unreachable, unreachableBackend{backend: id, at: now})
	}
	q.unreachable[rack] = unreachable
	if len(unreachable) >= rackUnreachableThreshold {
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
