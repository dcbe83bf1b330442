package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// backendState is what this entry VM knows of one backend server.
type backendState struct {
	Backend
	listed       bool                  // in the platform's list
	running      identifier.Slots      // tasks that this VM placed and that have not ended
	devicesInUse declarer.Accelerators // in use by tasks that this VM placed
	foreign      identifier.Slots      // in use by other VMs at the last report
	allowance    identifier.Slots      // Unlimited or the bound of a quarantine
	connections  int                   // this VM's share
	refusals     int                   // consecutive
	blockedUntil time.Time             // no start before, after a refusal
	leavingUntil time.Time             // leaving by its own or a peer's word
	waiting      bool                  // in the list of blocked backend servers
	owner        *peer                 // nil: none is known
	lent         identifier.Slots      // granted to other VMs, as their owner
	counted      identifier.Slots      // what the backend server adds to the free slots that this VM owns
	countedOpen  identifier.Slots      // what it adds to the slots that take new work
	settledAt    time.Time             // before, this VM does not know what others hold of its slots
	held         identifier.Slots      // granted to this VM, in use or not
	heldUntil    time.Time             // from when a granted slot is returned as soon as it is not in use
	idleAt       time.Time             // when a granted slot was last granted or freed
	connectors   []identifier.Member   // the VMs that may connect; nil: all
	positions    [setKinds]int
}

func newBackendState(b Backend) *backendState {
	s := &backendState{Backend: b, allowance: Unlimited}
	for i := range s.positions {
		s.positions[i] = notMember
	}
	return s
}

// open reports whether new work may go to the backend server at all.
func (b *backendState) open(now time.Time) bool {
	if !b.listed || b.Leaving || now.Before(b.leavingUntil) || now.Before(b.blockedUntil) {
		return false
	}
	return b.connections > 0 && (b.allowance == Unlimited || b.running < b.allowance)
}

// free is the number of slots that are free as far as this VM knows.
func (b *backendState) free() identifier.Slots {
	return b.Slots - b.running - b.foreign
}

// usable reports whether the local view allows a start.
func (b *backendState) usable(now time.Time) bool {
	return b.open(now) && b.running < b.Slots
}

// takes reports whether the task fits beside the tasks that run there.
func (b *backendState) takes(w *Want) bool {
	return b.holds(w) && w.Accelerators <= b.Accelerators-b.devicesInUse
}

// lendable is the number of free slots, as their owner.
func (b *backendState) lendable(now time.Time) identifier.Slots {
	if !b.open(now) || now.Before(b.settledAt) {
		return 0
	}
	n := b.Slots - b.running - b.lent
	if b.allowance != Unlimited {
		n = min(n, b.allowance-b.running-b.lent)
	}
	return max(0, n)
}

// spare reports whether this VM holds a granted slot that it may use.
func (b *backendState) spare(now time.Time) bool {
	return b.held > b.running && now.Before(b.heldUntil) && b.open(now)
}

// inUse is the number of slots that this VM has to report to their owner.
func (b *backendState) inUse() identifier.Slots { return max(b.held, b.running) }
