package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// backendState is this entry VM's view of one backend server.
type backendState struct {
	Backend
	listed       bool                  // in the platform's list
	running      identifier.Slots      // tasks that this VM placed and that have not ended
	devicesInUse declarer.Accelerators // in use by tasks that this VM placed
	usedByOthers identifier.Slots      // by the backend server's last usage report
	allowance    identifier.Slots      // bound of running in quarantine or on probation, or Unlimited
	connections  int                   // that this VM may open
	refusals     int                   // consecutive, by Full or Unreachable
	blockedUntil time.Time             // no start before then, after a refusal or a lost answer
	leavingUntil time.Time             // as reported by the backend server or a peer
	inBlocked    bool                  // is in Placer.blocked
	owner        *peer                 // nil: none
	lent         identifier.Slots      // to other VMs, when this VM is the owner
	countedFree  identifier.Slots      // its part of Placer.ownedFree
	countedOpen  identifier.Slots      // its part of Placer.openSlots
	ownerReadyAt time.Time             // before then, this VM does not know which of the slots that it owns others hold
	held         identifier.Slots      // granted to this VM by the owner, in use or not
	reuseUntil   time.Time             // from then on, a granted slot is returned when its task ends
	idleSince    time.Time             // when a slot was last granted or freed
	allowedVMs   []identifier.Member   // that may connect, when this VM is the owner; nil: all
	positions    [setKindCount]int
}

func newBackendState(b Backend) *backendState {
	s := &backendState{Backend: b, allowance: Unlimited}
	for i := range s.positions {
		s.positions[i] = notMember
	}
	return s
}

// open reports whether the backend server takes new work, whether or not a slot
// is free.
func (b *backendState) open(now time.Time) bool {
	if !b.listed || b.Leaving || now.Before(b.leavingUntil) || now.Before(b.blockedUntil) {
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
	return b.open(now) && b.running < b.Slots
}

// fitsNow reports whether the task fits and this VM's tasks leave enough
// accelerators free.
func (b *backendState) fitsNow(w *Want) bool {
	return b.fits(w) && w.Accelerators <= b.Accelerators-b.devicesInUse
}

// ownedFree is the number of free slots that this VM, as the owner, may use or
// lend.
func (b *backendState) ownedFree(now time.Time) identifier.Slots {
	if !b.open(now) || now.Before(b.ownerReadyAt) {
		return 0
	}
	n := b.Slots - b.running - b.lent
	if b.allowance != Unlimited {
		n = min(n, b.allowance-b.running-b.lent)
	}
	return max(0, n)
}

// hasSpare reports whether this VM holds a granted slot that it may start a
// task on.
func (b *backendState) hasSpare(now time.Time) bool {
	return b.held > b.running && now.Before(b.reuseUntil) && b.open(now)
}

// slotsToReport is the number of slots that this VM reports to the owner as held.
func (b *backendState) slotsToReport() identifier.Slots { return max(b.held, b.running) }
