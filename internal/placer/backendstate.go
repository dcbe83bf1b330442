package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// backendState is this entry VM's view of one backend server.
type backendState struct {
	Backend
	listed           bool                  // whether the platform's list contains it
	evacuated        bool                  // its failure domain is
	running          identifier.Slots      // tasks that this VM placed and that have not ended
	devicesInUse     declarer.Accelerators // accelerators in use by tasks that this VM placed
	usedByOthers     identifier.Slots      // slots that other VMs use, by the backend server's last usage report
	allowance        identifier.Slots      // in quarantine or on probation, the bound of running; otherwise Unlimited
	connections      int                   // connections that this VM may open
	refusals         int                   // consecutive starts refused as Full or Unreachable
	blockedUntil     time.Time             // this VM starts no task before then, after a refusal or a lost answer
	leavingUntil     time.Time             // until then, a report that the backend server is leaving is valid
	inBlocked        bool                  // whether Placer.blocked contains it
	owner            *peer                 // nil: none
	lent             identifier.Slots      // slots lent to other VMs, when this VM is the owner
	countedFree      identifier.Slots      // its part of Placer.ownedFreeSlots
	countedAccepting identifier.Slots      // its part of Placer.acceptingSlots
	ownerReadyAt     time.Time             // before then, this VM does not know which of the slots that it owns others hold
	held             identifier.Slots      // slots granted to this VM by the owner, in use or not
	reuseUntil       time.Time             // from then on, a granted slot is returned when its task ends
	idleSince        time.Time             // when a slot was last granted or freed
	allowedVMs       []identifier.Member   // VMs that may connect, when this VM is the owner; nil: all
	positions        [setKindCount]int
}

func newBackendState(b Backend) *backendState {
	s := &backendState{Backend: b, allowance: Unlimited}
	for i := range s.positions {
		s.positions[i] = notMember
	}
	return s
}

// acceptsWork reports whether the backend server accepts new work, whether or not
// a slot is free.
func (b *backendState) acceptsWork(now time.Time) bool {
	if !b.listed || b.evacuated || b.Leaving || now.Before(b.leavingUntil) || now.Before(b.blockedUntil) {
		return false
	}
	return b.connections > 0 && (b.allowance == Unlimited || b.running < b.allowance)
}

// free is the number of slots that are free in this VM's view.
func (b *backendState) free() identifier.Slots {
	return b.Slots - b.running - b.usedByOthers
}

// usable reports whether this VM may start a task, counting only its own
// running tasks.
func (b *backendState) usable(now time.Time) bool {
	return b.acceptsWork(now) && b.running < b.Slots
}

// fitsNow reports whether the task fits and this VM's tasks leave enough
// accelerators free.
func (b *backendState) fitsNow(w *TaskNeeds) bool {
	return b.fits(w) && w.Accelerators <= b.Accelerators-b.devicesInUse
}

// ownedFreeSlots is the number of free slots that this VM, as the owner, may use
// or lend.
func (b *backendState) ownedFreeSlots(now time.Time) identifier.Slots {
	if !b.acceptsWork(now) || now.Before(b.ownerReadyAt) {
		return 0
	}
	n := b.Slots - b.running - b.lent
	if b.allowance != Unlimited {
		n = min(n, b.allowance-b.running-b.lent)
	}
	return max(0, n)
}

// hasReusableSlot reports whether this VM holds a granted slot on which it may
// start a task.
func (b *backendState) hasReusableSlot(now time.Time) bool {
	return b.held > b.running && now.Before(b.reuseUntil) && b.acceptsWork(now)
}

// slotsToReport is the number of slots that this VM reports to the owner as held.
func (b *backendState) slotsToReport() identifier.Slots { return max(b.held, b.running) }
