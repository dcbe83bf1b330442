package enroller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// maxListedVMs bounds the VMs that are tracked in the platform's list.
const maxListedVMs = 100_000

// vmList tracks the platform's list of live VMs, which lags. A VM counts as
// deleted only when a list has shown it and all lists read after that have
// lacked it for longer than the lag: then the last of them describes a time by
// which the VM had already existed, so the VM is not missing because of the
// lag.
type vmList struct {
	revision Revision
	readAt   time.Time // when a list was last read; zero if never
	listed   map[identifier.VMID]bool
	missing  map[identifier.VMID]time.Time // listed before, and missing since that time
}

func newVMList() vmList {
	return vmList{listed: map[identifier.VMID]bool{}, missing: map[identifier.VMID]time.Time{}}
}

func (l *vmList) update(now time.Time, event VMListRead) {
	if event.Revision < l.revision || len(event.VMs) > maxListedVMs {
		return
	}
	l.revision = event.Revision
	l.readAt = now
	present := make(map[identifier.VMID]bool, len(event.VMs))
	for _, vm := range event.VMs {
		present[vm] = true
		delete(l.missing, vm)
	}
	for vm := range l.listed {
		if !present[vm] {
			l.noteMissing(now, vm)
		}
	}
	l.listed = present
}

// noteListed notes that another member has seen a VM on a list before now.
func (l *vmList) noteListed(now time.Time, vm identifier.VMID) {
	if !l.listed[vm] {
		l.noteMissing(now, vm)
	}
}

func (l *vmList) noteMissing(now time.Time, vm identifier.VMID) {
	if _, ok := l.missing[vm]; !ok && len(l.missing) < maxListedVMs {
		l.missing[vm] = now
	}
}

func (l *vmList) isDeleted(vm identifier.VMID, after time.Duration) bool {
	since, ok := l.missing[vm]
	return ok && l.readAt.Sub(since) >= after
}

// wasListed reports whether a VM was on a list that was read.
func (l *vmList) wasListed(vm identifier.VMID) bool {
	return l.listed[vm] || l.isMissing(vm)
}

func (l *vmList) isMissing(vm identifier.VMID) bool {
	_, ok := l.missing[vm]
	return ok
}
