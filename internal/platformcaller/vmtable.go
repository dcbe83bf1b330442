package platformcaller

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a vmTable.
const (
	maxVMs            = 1 << 16
	maxPendingChanges = 1 << 17
)

// vmTable holds the registered VMs, and the VMs as the list, which lags behind, shows
// them.
type vmTable struct {
	current map[string]registeredVM
	listed  map[string]VM
	pending []vmChange // not yet listed; oldest first
}

type registeredVM struct {
	vm     VM
	expiry time.Time // zero: never
}

type vmChange struct {
	at      time.Time
	vm      VM
	removed bool
}

func newVMTable() vmTable {
	return vmTable{current: make(map[string]registeredVM), listed: make(map[string]VM)}
}

// register adds a VM or replaces it. It is removed after ttl unless it is registered
// again; ttl 0 keeps it until remove.
func (t *vmTable) register(now time.Time, vm VM, ttl time.Duration) error {
	before, known := t.current[vm.ID]
	if !known && len(t.current) >= maxVMs {
		return errors.Newf("the list is at its bound of %d VMs", maxVMs)
	}
	r := registeredVM{vm: vm}
	if ttl > 0 {
		r.expiry = now.Add(ttl)
	}
	t.current[vm.ID] = r
	if !known || before.vm != vm {
		t.addChange(vmChange{at: now, vm: vm})
	}
	return nil
}

func (t *vmTable) remove(now time.Time, id string) {
	r, known := t.current[id]
	if !known {
		return
	}
	delete(t.current, id)
	t.addChange(vmChange{at: now, vm: r.vm, removed: true})
}

// addChange adds a pending change. If there are too many, the oldest is listed early.
func (t *vmTable) addChange(c vmChange) {
	if len(t.pending) == maxPendingChanges {
		t.apply(t.pending[0])
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, c)
}

func (t *vmTable) apply(c vmChange) {
	if c.removed {
		delete(t.listed, c.vm.ID)
		return
	}
	t.listed[c.vm.ID] = c.vm
}

// list returns the VMs as they were lag before now, in the order of their ids.
func (t *vmTable) list(now time.Time, lag time.Duration) []VM {
	t.removeExpired(now)
	for len(t.pending) > 0 && !t.pending[0].at.Add(lag).After(now) {
		t.apply(t.pending[0])
		t.pending = t.pending[1:]
	}
	vms := make([]VM, 0, len(t.listed))
	for _, vm := range t.listed {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

func (t *vmTable) removeExpired(now time.Time) {
	var expired []string
	for id, r := range t.current {
		if !r.expiry.IsZero() && !r.expiry.After(now) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		t.remove(now, id)
	}
}
