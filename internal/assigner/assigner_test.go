package assigner

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestOwner checks that the order of the VMs doesn't matter, and that losing a VM
// moves only the servers that it owned.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "vms")
		var vms []VM
		for i := range n {
			vms = append(vms, VM{ID: identifier.VMID(fmt.Sprintf("vm-%d", i)), Weight: rapid.IntRange(0, 800).Draw(t, "weight")})
		}
		server := identifier.BackendID(rapid.StringMatching("s-[0-9]{3}").Draw(t, "server"))
		owner, ok := Owner(server, vms)
		if !ok {
			t.Fatal("no owner")
		}
		reversed := make([]VM, 0, n)
		for i := range vms {
			reversed = append(reversed, vms[n-1-i])
		}
		if got, _ := Owner(server, reversed); got != owner {
			t.Fatalf("owner %s, but %s with the VMs in reverse order", owner, got)
		}
		for i, lost := range vms {
			if lost.ID == owner {
				continue
			}
			rest := append(append([]VM(nil), vms[:i]...), vms[i+1:]...)
			if got, _ := Owner(server, rest); got != owner {
				t.Fatalf("losing %s moves the server from %s to %s", lost.ID, owner, got)
			}
		}
	})
}

// TestGroup checks that groups own servers in proportion to their weights, that an
// empty group owns none, that a group that loses weight gains no server, and that
// doubling the groups splits each.
func TestGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := 1 << rapid.IntRange(0, 4).Draw(t, "doublings")
		weights := make([]int, groups)
		total := 0
		for i := range weights {
			weights[i] = rapid.SampledFrom([]int{0, 200, 800, 3200}).Draw(t, "weight")
			total += weights[i]
		}
		if total == 0 {
			if _, ok := Group("s", weights); ok {
				t.Error("a group without VMs owns a server")
			}
			return
		}
		const servers = 3000
		counts := make([]int, groups)
		for i := range servers {
			g, ok := Group(identifier.BackendID(fmt.Sprintf("s-%d", i)), weights)
			if !ok || weights[g] == 0 {
				t.Fatalf("server %d belongs to group %d of %v: %t", i, g, weights, ok)
			}
			counts[g]++
		}
		for g, n := range counts {
			if share := float64(weights[g]) / float64(total); math.Abs(float64(n)/servers-share) > 0.05 {
				t.Errorf("group %d of %v owns %d of %d servers", g, weights, n, servers)
			}
		}
		lighter := append([]int(nil), weights...)
		lost := rapid.IntRange(0, groups-1).Draw(t, "lost")
		lighter[lost] /= 2
		doubled := make([]int, 2*groups)
		for g, w := range weights {
			doubled[g], doubled[g+groups] = w/2, w-w/2
		}
		for i := range 200 {
			server := identifier.BackendID(fmt.Sprintf("s-%d", i))
			before, _ := Group(server, weights)
			if after, ok := Group(server, lighter); ok && after == lost && before != lost {
				t.Errorf("%s moves from group %d to %d, which has lost weight", server, before, lost)
			}
			if after, _ := Group(server, doubled); after%groups != before {
				t.Errorf("%s moves from group %d to %d of twice as many", server, before, after)
			}
		}
	})
}

// TestWeights checks that VMs own servers in proportion to their weights.
func TestWeights(t *testing.T) {
	vms := []VM{{ID: "small", Weight: 200}, {ID: "large", Weight: 800}}
	counts := make(map[identifier.VMID]int)
	const servers = 2000
	for i := range servers {
		owner, _ := Owner(identifier.BackendID(fmt.Sprintf("s-%d", i)), vms)
		counts[owner]++
	}
	if share := float64(counts["small"]) / servers; share < 0.16 || share > 0.24 {
		t.Errorf("a VM with a fifth of the weight owns %.3f of the servers", share)
	}
}

func TestNoOwner(t *testing.T) {
	if owner, ok := Owner("s", nil); ok {
		t.Errorf("owner %q without any VM", owner)
	}
}
