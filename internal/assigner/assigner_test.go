package assigner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestOwner checks that the owner is in the server's failure domain if that domain
// has a VM, that the order of the VMs doesn't matter, and that losing a VM moves
// only the servers that it owned.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "vms")
		var vms []VM
		for i := range n {
			vms = append(vms, VM{
				ID:     identifier.VMID(fmt.Sprintf("vm-%d", i)),
				Domain: identifier.FailureDomain(fmt.Sprintf("domain-%d", rapid.IntRange(0, 2).Draw(t, "domain"))),
				Weight: rapid.IntRange(0, 800).Draw(t, "weight"),
			})
		}
		server := identifier.BackendID(rapid.StringMatching("s-[0-9]{3}").Draw(t, "server"))
		domain := identifier.FailureDomain("domain-0")
		owner, ok := Owner(server, domain, vms)
		if !ok {
			t.Fatal("no owner")
		}
		reversed := make([]VM, 0, n)
		local := false
		var ownerVM VM
		for i := range vms {
			reversed = append(reversed, vms[n-1-i])
			local = local || vms[i].Domain == domain
			if vms[i].ID == owner {
				ownerVM = vms[i]
			}
		}
		if got, _ := Owner(server, domain, reversed); got != owner {
			t.Fatalf("owner %s, but %s with the VMs in reverse order", owner, got)
		}
		if local && ownerVM.Domain != domain {
			t.Fatalf("owner %s is in failure domain %s", owner, ownerVM.Domain)
		}
		for i, lost := range vms {
			if lost.ID == owner {
				continue
			}
			rest := append(append([]VM(nil), vms[:i]...), vms[i+1:]...)
			if got, _ := Owner(server, domain, rest); got != owner {
				t.Fatalf("losing %s moves the server from %s to %s", lost.ID, owner, got)
			}
		}
	})
}

// TestWeights checks that VMs own servers in proportion to their weights.
func TestWeights(t *testing.T) {
	vms := []VM{{ID: "small", Domain: "d", Weight: 200}, {ID: "large", Domain: "d", Weight: 800}}
	counts := make(map[identifier.VMID]int)
	const servers = 2000
	for i := range servers {
		owner, _ := Owner(identifier.BackendID(fmt.Sprintf("s-%d", i)), "d", vms)
		counts[owner]++
	}
	if share := float64(counts["small"]) / servers; share < 0.16 || share > 0.24 {
		t.Errorf("a VM with a fifth of the weight owns %.3f of the servers", share)
	}
}

func TestNoOwner(t *testing.T) {
	if owner, ok := Owner("s", "d", nil); ok {
		t.Errorf("owner %q without any VM", owner)
	}
}
