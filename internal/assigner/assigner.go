// Package assigner proposes which VM owns which backend server, the same on
// every VM that sees the same live VMs.
package assigner

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// VM is an entry VM that can own backend servers.
type VM struct {
	ID     identifier.VMID
	Domain identifier.FailureDomain
	Weight int // share of the servers that it can carry
}

// Owner returns the VM that should own a backend server: by weighted rendezvous
// hashing over the VMs of the server's failure domain, or over all VMs where it
// has none. It reports false when there is no VM.
func Owner(server identifier.BackendID, domain identifier.FailureDomain, vms []VM) (owner identifier.VMID, ok bool) {
	local := false
	for _, vm := range vms {
		if vm.Domain == domain {
			local = true
			break
		}
	}
	best := math.Inf(-1)
	for _, vm := range vms {
		if local && vm.Domain != domain {
			continue
		}
		if s := score(server, vm); s > best || (s == best && vm.ID < owner) {
			best, owner, ok = s, vm.ID, true
		}
	}
	return owner, ok
}

// score is the weighted rendezvous score: -weight / ln(u) for a uniform u that
// the pair determines.
func score(server identifier.BackendID, vm VM) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(server)) // a hash in memory doesn't fail
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(vm.ID))
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(max(vm.Weight, 1)) / math.Log(u)
}
