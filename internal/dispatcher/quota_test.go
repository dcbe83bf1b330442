package dispatcher

import (
	"testing"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// TestQuotaThatCannotBind holds that a quota is handed to the limiter, which
// splits it between entry VMs, only when it is below the listed slots.
func TestQuotaThatCannotBind(t *testing.T) {
	const slots = worldBackends * worldSlots
	for _, c := range []struct{ quota, want identifier.Slots }{{slots - 1, slots - 1}, {slots, 0}, {slots + 1, 0}} {
		p := profileparser.Default()
		p.DefaultQuota = c.quota
		m, now := checkMachine(p)
		j := newRunningJob(now, declarer.Job{Team: "t"}, 0)
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
