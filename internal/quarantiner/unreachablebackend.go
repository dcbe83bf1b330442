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
	job     identifier.SubmissionID // whose task was lost there first; empty: none
}

// handleUnreachable records a backend server that could not be reached. When
// rackUnreachableThreshold servers of a rack can't be reached within
// rackUnreachableWindow, the others of the rack are put on probation. Servers that were lost
// under tasks of one job count as one: the job may have crashed them.
func (q *Quarantiner) handleUnreachable(now time.Time, id identifier.BackendID, job identifier.SubmissionID) {
	rack, ok := q.racks[id]
	if !ok || rack == "" {
		return
	}
	unreachable := slices.DeleteFunc(q.unreachable[rack], func(u unreachableBackend) bool {
		if u.backend == id && u.job != "" && now.Sub(u.at) <= rackUnreachableWindow {
			job = u.job
		}
		return u.backend == id || now.Sub(u.at) > rackUnreachableWindow
	})
	if len(unreachable) < maxRackUnreachable {
		unreachable = append(unreachable, unreachableBackend{backend: id, at: now, job: job})
	}
	q.unreachable[rack] = unreachable
	if countCauses(unreachable) >= rackUnreachableThreshold {
		q.putRackOnProbation(now, rack)
	}
}

// countCauses returns the number of unreachable backend servers, where those that were lost
// under the same job count as one.
func countCauses(unreachable []unreachableBackend) (n int) {
	jobs := make(map[identifier.SubmissionID]bool)
	for _, u := range unreachable {
		if u.job == "" || !jobs[u.job] {
			n++
		}
		jobs[u.job] = true
	}
	return n
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
