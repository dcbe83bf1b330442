package repeater

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/packer"
	"github.com/peppertrack/peppertrack/internal/pairmeter"
	"github.com/peppertrack/peppertrack/internal/router"
)

// An owner may measure which kinds of tasks slow each other down on one server, and then
// prefers other servers for them. It keeps no task waiting for that.

// pairsInterval is the time between two searches for pairs that disturb each other.
const pairsInterval = time.Second

// minBesideShare is the share of a run's time that a task of another kind has to run beside
// it to count.
const minBesideShare = 0.5

// pairTracker is what an owner knows of kinds that disturb each other.
type pairTracker struct {
	meter  *pairmeter.Meter
	names  map[pairmeter.Kind]string // of the routes in force
	found  []pairmeter.Pair          // at foundAt
	search time.Time                 // the next one
}

// kindOf returns the kind of the tasks of a route.
func kindOf(r router.Route) pairmeter.Kind {
	return pairmeter.Kind(max(uint32(xxhash.Sum64String(r.Name)), 1))
}

// nameKinds records the names of the kinds of the routes in force, for the log.
func (p *pairTracker) nameKinds(t *router.Table) {
	p.names = make(map[pairmeter.Kind]string, len(t.Routes))
	for _, r := range t.Routes {
		p.names[kindOf(r)] = r.Name
	}
}

// addOverlap records, when a run leaves a server, for how long the others ran beside it.
func (m *Machine) addOverlap(o *ownedServer, left *run) {
	if m.pairs == nil || left.startedAt.IsZero() {
		return
	}
	for _, r := range o.runs {
		if r == left || r.startedAt.IsZero() {
			continue
		}
		if r.beside == nil {
			r.beside = make(map[pairmeter.Kind]time.Duration)
		}
		r.beside[left.msg.Kind] += m.now.Sub(later(r.startedAt, left.startedAt))
	}
}

// besideMostly returns the kinds that ran beside a run for most of its time.
func (m *Machine) besideMostly(o *ownedServer, r *run) (kinds []pairmeter.Kind) {
	beside := make(map[pairmeter.Kind]time.Duration, len(r.beside)+len(o.runs))
	for kind, d := range r.beside {
		beside[kind] = d
	}
	for _, other := range o.runs {
		if other != r && !other.startedAt.IsZero() {
			beside[other.msg.Kind] += m.now.Sub(later(r.startedAt, other.startedAt))
		}
	}
	for kind, d := range beside {
		if kind != 0 && float64(d) >= minBesideShare*float64(m.now.Sub(r.startedAt)) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// observePairs records a run that has succeeded, and what ran beside it.
func (m *Machine) observePairs(o *ownedServer, r *run, elapsed, estimate time.Duration) {
	if m.pairs == nil {
		return
	}
	expected := time.Duration(float64(estimate) * o.pace.Pace())
	m.pairs.meter.Observe(m.now, r.msg.Kind, elapsed, expected, m.besideMostly(o, r))
}

// setDisturbance sets for each server by how much a task would slow down what runs there, and
// be slowed down.
func (m *Machine) setDisturbance(servers []packer.Server, kind pairmeter.Kind) {
	if m.pairs == nil {
		return
	}
	for i := range servers {
		servers[i].Disturbance = 0
		for _, r := range m.owned[servers[i].ID].runs {
			servers[i].Disturbance += m.pairs.meter.Slowdown(m.now, kind, r.msg.Kind) - 1 + m.pairs.meter.Slowdown(m.now, r.msg.Kind, kind) - 1
		}
	}
}

// searchPairs logs which pairs are kept apart, and which no longer are.
func (m *Machine) searchPairs() {
	if m.pairs == nil || m.now.Before(m.pairs.search) {
		return
	}
	m.pairs.search = m.now.Add(pairsInterval)
	before := m.pairs.found
	m.pairs.found = m.pairs.meter.Found(m.now)
	for _, p := range m.pairs.found {
		if !containsPair(before, p) {
			m.logPair("pairApart", p)
		}
	}
	for _, p := range before {
		if !containsPair(m.pairs.found, p) {
			m.logPair("pairTogether", p)
		}
	}
}

func containsPair(pairs []pairmeter.Pair, p pairmeter.Pair) bool {
	for _, other := range pairs {
		if other.Kind == p.Kind && other.Beside == p.Beside {
			return true
		}
	}
	return false
}

func (m *Machine) logPair(decision string, p pairmeter.Pair) {
	runs, otherRuns, age := m.pairs.meter.Evidence(m.now, p.Kind, p.Beside)
	m.logDecision(decision, "route", m.pairs.names[p.Kind], "beside", m.pairs.names[p.Beside], "factor", p.Factor,
		"runs", runs, "otherRuns", otherRuns, "age", age)
}

// taskKind returns the kind of a job's tasks, and 0 where pairs aren't measured.
func (m *Machine) taskKind(j *openJob) pairmeter.Kind {
	if m.pairs == nil {
		return 0
	}
	return kindOf(j.Route)
}
