package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// RouteDecision says how a request is handled. It is a Routed, a NoRoute or a
// Refused.
type RouteDecision interface{ isRouteDecision() }

// Routed says which route a request takes.
type Routed struct {
	Route   router.Route
	Rest    string // of the path, after the route's prefix
	Version router.Version
	Age     time.Duration    // of the routes; see Machine.routesAge
	MaxBody identifier.Bytes // as in router.Table
}

// NoRoute says that no route in force matches the host and path of a request.
type NoRoute struct {
	Version router.Version
	Age     time.Duration // of the routes; see Machine.routesAge
}

func (Routed) isRouteDecision()  {}
func (NoRoute) isRouteDecision() {}
func (Refused) isRouteDecision() {}

func (m *Machine) routeRequest(e RouteRequested) {
	m.emit(RouteReply{Request: e.Request, Decision: m.decideRoute(e.Host, e.Path)})
}

func (m *Machine) decideRoute(host, path string) RouteDecision {
	if m.routes == nil {
		return Refused{RetryAfter: time.Second, Reason: "no routes are known yet"}
	}
	if r, refused := m.refusalAfterPause(); refused {
		return r
	}
	route, rest, ok := m.routes.Match(host, path)
	if !ok {
		return NoRoute{Version: m.routes.Version, Age: m.routesAge()}
	}
	return Routed{Route: route, Rest: rest, Version: m.routes.Version, Age: m.routesAge(), MaxBody: m.routes.MaxBody}
}

// routeDropped is the reason to refuse a job whose route is no longer in force.
const routeDropped = "the route was dropped while the request was read"

// updateRoute replaces the route of a job whose body took so long to read that other
// routes are in force by now. It reports false if none of them serves the job.
func (m *Machine) updateRoute(j *Job) bool {
	if m.routes == nil || j.Version == m.routes.Version {
		return true
	}
	route, rest, ok := m.routes.Match(j.Route.Host, j.Route.Prefix+string(j.ID))
	if !ok || rest != string(j.ID) || route.NeedsAdvice {
		return false
	}
	j.Route, j.Version = route, m.routes.Version
	return true
}

// refusalAfterPause returns why nothing is decided so soon after a pause of this VM,
// and whether that is so.
func (m *Machine) refusalAfterPause() (Refused, bool) {
	switch {
	case m.now.Before(m.refuseUntil):
		return Refused{RetryAfter: pauseRefusalTime, Reason: "this VM was paused, and the request may be old"}, true
	case m.routesUnconfirmed && !m.opts.defects.trustOldRoutes:
		return Refused{RetryAfter: pauseRefusalTime, Reason: "this VM was paused, and its routes may be old"}, true
	}
	return Refused{}, false
}

// routesAge returns the time since the store was last known to have no later routes, or 0
// if the routes are known from peers alone.
func (m *Machine) routesAge() time.Duration {
	if m.routesAsOf.IsZero() {
		return 0
	}
	return m.now.Sub(m.routesAsOf)
}

// changeRoutes puts a routing table in force unless one of the same or a later
// version is.
func (m *Machine) changeRoutes(t *router.Table) {
	if m.routes != nil && t.Version <= m.routes.Version {
		return
	}
	m.routes = t
	m.routesChangedAt = m.now
	if m.pairs != nil {
		m.pairs.nameKinds(t)
	}
	m.reportChanged = true
	m.logDecision("routesInForce", "version", t.Version, "routes", len(t.Routes))
}

// confirmRoutes records that the store had no later routes at a time. Only a read that
// began after the latest pause shows that those in force are not outdated by it.
func (m *Machine) confirmRoutes(asOf time.Time) {
	m.routesAsOf = later(m.routesAsOf, asOf)
	if m.routesUnconfirmed && !m.routesAsOf.Before(m.resumedAt) {
		m.endRoutesCheck("routesConfirmed")
	}
}

// checkRoutes asks the store whether the routes of before a pause are still in force.
func (m *Machine) checkRoutes() {
	m.resumedAt = m.now
	m.routesUnconfirmed = true
	m.emit(ReadRoutes{})
}

// tickRoutes gives up the wait for the store, and goes on with the known routes, as in
// any outage of the store.
func (m *Machine) tickRoutes() {
	if m.routesUnconfirmed && m.now.Sub(m.resumedAt) >= routesCheckTime {
		m.endRoutesCheck("routesNotConfirmed")
	}
}

func (m *Machine) endRoutesCheck(decision string) {
	m.routesUnconfirmed = false
	var version router.Version
	if m.routes != nil {
		version = m.routes.Version
	}
	m.logDecision(decision, "version", version, "age", m.routesAge(), "afterPause", m.now.Sub(m.resumedAt))
}
