package dispatcher

import (
	"testing"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// TestQuotaThatCannotBind checks that the limiter, which splits a quota between
// entry VMs, gets a quota only if it is below the slots of the listed servers.
func TestQuotaThatCannotBind(t *testing.T) {
	const slots = simBackends * simSlotsPerBackend
	for _, c := range []struct{ quota, want identifier.Slots }{{slots - 1, slots - 1}, {slots, 0}, {slots + 1, 0}} {
		p := profileparser.Default()
		p.DefaultQuota = c.quota
		m, now := newTestMachine(p)
		j := newActiveJob(now, declarer.Job{Team: "t"}, 0)
		j.setProfile(p, "a")
		if got := m.quota(j); got != c.want {
			t.Errorf("a quota of %d with %d slots: the limiter gets %d, want %d", c.quota, slots, got, c.want)
		}
		m.Step(now, BackendsListed{})
		if got := m.quota(j); got != 0 {
			t.Errorf("without backend servers the limiter gets %d", got)
		}
	}
}
