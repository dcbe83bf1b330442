package repeater

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestNeighbors checks that two VMs agree on whether they are neighbors, that
// all VMs of a small fleet are, and that neighbors in a large fleet share a
// failure domain.
func TestNeighbors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 16
		fleet := rapid.IntRange(2, 400).Draw(t, "fleet")
		inDomain := rapid.IntRange(2, fleet).Draw(t, "inDomain")
		name := func(label string) identifier.VMID {
			return identifier.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, fleet).Draw(t, label)))
		}
		a, b := name("a"), name("b")
		domain := func(label string) identifier.FailureDomain {
			return identifier.FailureDomain(rapid.SampledFrom([]string{"x", "y"}).Draw(t, label))
		}
		x, y := domain("domain of a"), domain("domain of b")
		near := neighbors(a, b, x, y, fleet, inDomain, bound)
		switch {
		case near != neighbors(b, a, y, x, fleet, inDomain, bound):
			t.Error("only one of the two VMs is the other's neighbor")
		case fleet <= bound && !near:
			t.Error("VMs of a small fleet are not neighbors")
		case fleet > bound && near && x != y:
			t.Error("neighbors are in two failure domains")
		case fleet > bound && x == y && inDomain <= bound && !near:
			t.Error("VMs of a small failure domain are not neighbors")
		}
	})
}

// TestReportsOfALargeFleet checks that an idle VM in a fleet of 30 sends load
// reports to its ten neighbors every 100 ms and to the others every second, and
// declares no peer lost.
func TestReportsOfALargeFleet(t *testing.T) {
	const vms, length = 30, 8 * time.Second
	sim := newSimulation(1, simConfig{vms: vms, servers: 6})
	sim.run(length)
	const neighborhood = vms / 3 // there are three failure domains
	const bound = (neighborhood*float64(time.Second/reportInterval) + (vms - neighborhood)) * float64(length/time.Second)
	for _, vm := range sim.vms {
		if n := float64(vm.sentReports); n > 1.1*bound {
			t.Errorf("vm-%d has sent %.0f load reports; %.0f is the bound", vm.index, n, bound)
		}
		if lost := vm.machine.Counters().PeersLost; lost > 0 {
			t.Errorf("vm-%d has lost %d peers", vm.index, lost)
		}
	}
}
