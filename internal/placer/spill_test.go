package placer

import (
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestNoSpill checks under every policy that a task bound to a failure domain is
// placed there or waits, and that it doesn't hold up other tasks.
func TestNoSpill(t *testing.T) {
	const inDomain = 8 * 2 // slots of the 2 of 6 backend servers in d0
	for _, policy := range []Policy{Random{}, TwoChoices{}, Reserve{}} {
		p := newTestPlacer(testBackends(6))
		domains := make(map[identifier.BackendID]identifier.FailureDomain)
		for _, b := range testBackends(6) {
			domains[b.ID] = b.Domain
		}
		bound := testTasks(0, 2*inDomain, policy)
		for i := range bound {
			bound[i].Domain = "d0"
		}
		placed := p.Place(epoch, bound)
		if len(placed) != inDomain {
			t.Errorf("%T: placed %d of %d tasks, want %d", policy, len(placed), len(bound), inDomain)
		}
		for _, placement := range placed {
			if got := domains[placement.Backend]; got != "d0" {
				t.Errorf("%T: a task was placed in %s", policy, got)
			}
		}
		free := testTasks(1_000, 8, policy)
		if placed := p.Place(epoch, free); len(placed) != len(free) {
			t.Errorf("%T: placed %d of %d tasks that may run anywhere", policy, len(placed), len(free))
		}
		needs := TaskNeeds{Domain: "elsewhere"}
		if p.Fits(needs) {
			t.Errorf("%T: a task fits in a failure domain without backend servers", policy)
		}
	}
}
