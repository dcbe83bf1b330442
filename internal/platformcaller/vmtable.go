package platformcaller

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the list of VMs.
const (
	maxVMs            = 1 << 16
	maxPendingChanges = 1 << 17
)

// vmTable holds the VMs as they are and as a list that lags behind shows them.
type vmTable struct {
	current map[string]registeredVM
	shown   map[string]VM
	pending []vmChange // ordered by time; not yet shown
}

type registeredVM struct {
	vm     VM
	expiry time.Time // zero: never
}

type vmChange struct {
	at   time.Time
	vm   VM
	gone bool
}

func newVMTable() vmTable {
	return vmTable{current: make(map[string]registeredVM), shown: make(map[string]VM)}
}

// register adds a VM or changes it. It is gone after ttl unless it is
// registered again; ttl 0 keeps it until it is removed.
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
		t.change(vmChange{at: now, vm: vm})
	}
	return nil
}

func (t *vmTable) remove(now time.Time, id string) {
	r, known := t.current[id]
	if !known {
		return
	}
	delete(t.current, id)
	t.change(vmChange{at: now, vm: r.vm, gone: true})
}

func (t *vmTable) change(c vmChange) {
	if len(t.pending) == maxPendingChanges {
		t.show(t.pending[0])
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, c)
}

func (t *vmTable) show(c vmChange) {
	if c.gone {
		delete(t.shown, c.vm.ID)
		return
	}
	t.shown[c.vm.ID] = c.vm
}

// list returns the VMs as they were at now less lag, ordered by id.
func (t *vmTable) list(now time.Time, lag time.Duration) []VM {
	t.expire(now)
	for len(t.pending) > 0 && !t.pending[0].at.Add(lag).After(now) {
		t.show(t.pending[0])
		t.pending = t.pending[1:]
	}
	vms := make([]VM, 0, len(t.shown))
	for _, vm := range t.shown {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

func (t *vmTable) expire(now time.Time) {
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
