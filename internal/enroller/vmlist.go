package enroller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// maxListedVMs bounds the VMs that are followed in the platform's list.
const maxListedVMs = 100_000

// vmList follows the platform's list of live VMs, which lags. A VM counts as
// deleted only when a list has shown it and the lists that were read after that
// have lacked it without a break for longer than the list lags: then the last of
// them tells of a time at which the VM had existed before.
type vmList struct {
	revision Revision
	readAt   time.Time // when a list was last read; zero: never
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
	l.readAt = now
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

// shown notes that a list has shown a VM to another member before now.
func (l *vmList) shown(now time.Time, vm identifier.VMID) {
	if !l.listed[vm] {
		l.miss(now, vm)
	}
}

func (l *vmList) miss(now time.Time, vm identifier.VMID) {
	if _, ok := l.missing[vm]; !ok && len(l.missing) < maxListedVMs {
		l.missing[vm] = now
	}
}

func (l *vmList) deleted(vm identifier.VMID, after time.Duration) bool {
	since, ok := l.missing[vm]
	return ok && l.readAt.Sub(since) >= after
}

// seen reports whether a list that was read has shown a VM.
func (l *vmList) seen(vm identifier.VMID) bool {
	return l.listed[vm] || l.lacks(vm)
}

func (l *vmList) lacks(vm identifier.VMID) bool {
	_, ok := l.missing[vm]
	return ok
}
