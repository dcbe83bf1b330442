package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// TestJobRunsByNoDroppedRoute guards against a job that runs by a route which has been
// dropped or changed between its header and the end of its body.
func TestJobRunsByNoDroppedRoute(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	moved := simRoute()
	moved.Pool = "other"
	longer := moved
	longer.Prefix = "/job"
	for _, c := range []struct {
		name   string
		routes []router.Route
		pool   identifier.PoolID // that the job runs in; empty: it is refused
	}{
		{"kept", []router.Route{simRoute()}, simPool},
		{"moved to another pool", []router.Route{moved}, "other"},
		{"dropped", nil, ""},
		{"hidden by a longer prefix", []router.Route{simRoute(), longer}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(now, Options{Self: identifier.Member{VM: "vm-1", Incarnation: 1}, Domain: "domain", Weight: 400})
			m.Step(now, RoutesChanged{Table: &router.Table{Version: 1, Routes: []router.Route{simRoute()}}})
			reply := m.Step(now, RouteRequested{Request: 1, Host: "host", Path: "/job"})[0].(RouteReply)
			routed := reply.Decision.(Routed)
			m.Step(now, RoutesChanged{Table: &router.Table{Version: 2, Routes: c.routes}})
			job := Job{ID: "job", Route: routed.Route, Version: routed.Version}
			if m.updateRoute(&job) != (c.pool != "") {
				t.Errorf("the job is served: %v", c.pool == "")
			}
			if c.pool != "" && (job.Route.Pool != c.pool || job.Version != 2) {
				t.Errorf("the job runs in pool %q by version %d", job.Route.Pool, job.Version)
			}
		})
	}
}

// TestJobOfADroppedRouteIsRefused guards against a job that is admitted by a route which
// has been dropped while its body was read.
func TestJobOfADroppedRouteIsRefused(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m := New(now, Options{Self: identifier.Member{VM: "vm-1", Incarnation: 1}, Domain: "domain", Weight: 400})
	m.Step(now, RoutesChanged{Table: &router.Table{Version: 2}})
	job := Job{ID: "job", Route: simRoute(), Version: 1, Tasks: 1, Cores: 1000, Estimate: 50 * time.Millisecond, Budget: time.Second}
	var outcome Outcome
	for _, e := range m.Step(now, JobSubmitted{Request: 1, Job: job}) {
		if r, ok := e.(Reply); ok {
			outcome = r.Outcome
		}
	}
	if refused, ok := outcome.(Refused); !ok || refused.Reason != routeDropped {
		t.Errorf("got %#v", outcome)
	}
}
