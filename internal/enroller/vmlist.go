package enroller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// maxListedVMs bounds the VMs that are followed in the platform's list.
const maxListedVMs = 100_000

// vmList follows the platform's list of live VMs, which lags. A VM counts as
// deleted only when a list has shown it and later lists have lacked it for some
// time without a break.
type vmList struct {
	revision Revision
	listed   map[identifier.VMID]bool
	missing  map[identifier.VMID]time.Time // listed before; since when no more
}

func newVMList() vmList {
	return vmList{listed: map[identifier.VMID]bool{}, missing: map[identifier.VMID]time.Time{}}
}

func (l *vmList) read(now time.Time, event VMListRead) {
	if event.Revision < l.revision || len(event.VMs) > maxListedVMs {
		return
	}
	l.revision = event.Revision
	present := make(map[identifier.VMID]bool, len(event.VMs))
	for _, vm := range event.VMs {
		present[vm] = true
		delete(l.missing, vm)
	}
	for vm := range l.listed {
		if !present[vm] {
			l.miss(now, vm)
		}
	}
	l.listed = present
}

// shown notes that a list of the given revision has shown a VM, as the roster
// tells; 0 tells nothing.
func (l *vmList) shown(now time.Time, vm identifier.VMID, revision Revision) {
	if revision > 0 && revision < l.revision && !l.listed[vm] {
		l.miss(now, vm)
	}
}

func (l *vmList) miss(now time.Time, vm identifier.VMID) {
	if _, ok := l.missing[vm]; !ok && len(l.missing) < maxListedVMs {
		l.missing[vm] = now
	}
}

func (l *vmList) deleted(now time.Time, vm identifier.VMID, after time.Duration) bool {
	since, ok := l.missing[vm]
	return ok && now.Sub(since) >= after
}

func (l *vmList) lacks(vm identifier.VMID) bool {
	_, ok := l.missing[vm]
	return ok
}
