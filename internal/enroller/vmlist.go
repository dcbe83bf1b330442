package enroller

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// maxListedVMs bounds the VMs that are tracked in the platform's list.
const maxListedVMs = 100_000

// vmList tracks the platform's list of live VMs. The list lags: one that is read
// now may describe an earlier time. A VM counts as deleted when it was listed
// once, no list since then has shown it, and the last list was read more than the
// lag after the VM was noted as missing. That list describes a time after this
// note, when the VM had already existed. So the list lacks the VM because the VM
// was deleted, and not because the list is too old to show it.
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

// markMissingUnlessListed handles the news that another member has seen a VM on a
// list before now. Unless the last list read here shows the VM too, the VM counts
// as missing from now on, as if this member had seen it listed.
func (l *vmList) markMissingUnlessListed(now time.Time, vm identifier.VMID) {
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
