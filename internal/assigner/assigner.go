// Package assigner computes which entry VM should own each backend server. VMs
// that see the same live VMs compute the same owners.
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
	Weight int // relative share of the servers that it should own; values below 1 count as 1
}

// Owner returns the VM that should own a backend server. It uses weighted
// rendezvous hashing over the VMs in the server's failure domain, or over all VMs
// if that domain has none. ok is false if vms is empty.
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

// score returns the weighted rendezvous score -weight/ln(u), where u is a hash of
// the server and the VM, uniform between 0 and 1.
func score(server identifier.BackendID, vm VM) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(server)) // never returns an error
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(vm.ID))
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(max(vm.Weight, 1)) / math.Log(u)
}
