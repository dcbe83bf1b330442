// Package assigner computes which entry VM should own each backend server. VMs
// that see the same live VMs compute the same owners.
package assigner

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// VM is an entry VM that can own backend servers.
type VM struct {
	ID     identifier.VMID
	Weight int // relative share of the servers that it should own; values below 1 count as 1
}

// Owner returns the VM that should own a backend server, by weighted rendezvous
// hashing. ok is false if vms is empty.
func Owner(server identifier.BackendID, vms []VM) (owner identifier.VMID, ok bool) {
	best := math.Inf(-1)
	for _, vm := range vms {
		if s := score(server, string(vm.ID), vm.Weight); s > best || (s == best && vm.ID < owner) {
			best, owner, ok = s, vm.ID, true
		}
	}
	return owner, ok
}

// Group returns which of several groups of VMs should own a backend server. The
// number of groups is a power of two, and weights has the weight of each; a group
// with weight 0 owns nothing. When the number of groups doubles, the servers of
// group g stay in g or move to g plus the earlier number. ok is false if all weights
// are 0.
func Group(server identifier.BackendID, weights []int) (group int, ok bool) {
	if sumOf(weights, 0, 1) == 0 {
		return 0, false
	}
	for step := 1; step < len(weights); step *= 2 {
		low, high := sumOf(weights, group, 2*step), sumOf(weights, group+step, 2*step)
		if low == 0 || high > 0 && score(server, groupName(group+step, 2*step), high) > score(server, groupName(group, 2*step), low) {
			group += step
		}
	}
	return group, true
}

// sumOf returns the weight of every step-th group from the first on.
func sumOf(weights []int, first, step int) (sum int) {
	for i := first; i < len(weights); i += step {
		sum += weights[i]
	}
	return sum
}

// groupName returns a name that no VM has, since it begins with a separator.
func groupName(group, groups int) string {
	return "/" + strconv.Itoa(group) + "/" + strconv.Itoa(groups)
}

// score returns the weighted rendezvous score -weight/ln(u), where u is a hash of
// the server and the candidate's name, uniform between 0 and 1.
func score(server identifier.BackendID, name string, weight int) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(server)) // never returns an error
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(name)
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(max(weight, 1)) / math.Log(u)
}
