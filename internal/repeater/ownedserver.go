package repeater

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// ownerPhase says how far a VM is with a server that it owns.
type ownerPhase uint8

const (
	phaseTaking   ownerPhase = iota // the first look is not answered
	phaseClaiming                   // homes may claim the runs that were found
	phaseClearing                   // unclaimed runs are being stopped
	phaseReady
	phaseReleasing // nothing is started any more
)

// ownedServer is a backend server that this VM orders about.
type ownedServer struct {
	Server
	token      identifier.FencingToken
	confirmed  bool // the server has answered to the token
	phase      ownerPhase
	claimUntil time.Time
	claims     []heldClaim // that wait for a look
	releaseTo  identifier.Member
	listed     bool

	clock      ServerTime // at clockAt
	clockAt    time.Time
	clockKnown bool
	generation identifier.Generation
	leaseEnd   ServerTime // the latest that was asked for
	observed   uint64

	runs     map[identifier.RunRef]*run
	looking  OrderID // 0: no look is open
	lookedAt time.Time
	nextLook time.Time
	silent   int       // calls without an answer since the last one that was answered
	missedAt time.Time // when a call last got no answer

	pace           pace
	suspicion      int // failures in a row
	suspendedUntil time.Time
	suspendFor     time.Duration
	fullUntil      time.Time // it had less room than expected
}

// heldClaim is a claim that waits for a look that is sent after it.
type heldClaim struct {
	at   time.Time
	from identifier.Member
	run  peermessenger.ClaimedRun
}

// runState says how far a run at an owned server is.
type runState uint8

const (
	runStarting runState = iota // the order is not answered
	runUnknown                  // the order got no answer
	runRunning
	runStopping
	runOrphan // found at takeover, not claimed yet
)

// run is a run at an owned server.
type run struct {
	ref        identifier.RunRef
	home       identifier.Member
	msg        peermessenger.RunTask
	state      runState
	since      time.Time // it was ordered, or found
	startedAt  time.Time
	generation identifier.Generation // of its server; 0: not known
	stopCause  string
	stopSince  time.Time
	stopOrder  OrderID // the latest, while it is open
	stopSentAt time.Time
	stoppedAt  time.Time // the stop was accepted
	nextStop   time.Time
	progress   float64
	moves      int // earlier runs of the task that were stopped for their progress
}

// usable reports whether the server takes work, now or when runs end.
func (o *ownedServer) usable(now time.Time) bool {
	return o.phase == phaseReady && o.listed && !o.Leaving && o.silent == 0 && !now.Before(o.suspendedUntil)
}

// startable reports whether a run may be started on the server now.
func (o *ownedServer) startable(now time.Time) bool {
	onProbation := o.suspendFor > 0
	if onProbation && len(o.runs) > 0 {
		return false
	}
	return o.usable(now) && !now.Before(o.fullUntil) && o.clockKnown && !o.holdsUnwanted(now)
}

// free returns the room that no run takes. A run counts until its end is listed.
func (o *ownedServer) free() (identifier.Millicores, identifier.Mebibytes) {
	cores, memory := o.Cores, o.Memory
	for _, r := range o.runs {
		cores -= r.msg.Millicores
		memory -= r.msg.Memory
	}
	return max(cores, 0), max(memory, 0)
}

// serverNow estimates the time on the server's clock, which may be slow. A lease
// that is asked for by it is never longer than meant.
func (o *ownedServer) serverNow(now time.Time) ServerTime {
	return o.clock + ServerTime(float64(now.Sub(o.clockAt))*(1-clockDrift))
}

// lapsed reports whether every lease that was ever asked for is over, on the
// slowest clock that the server may have. A later owner extends none that a home
// doesn't claim.
func (o *ownedServer) lapsed(now time.Time) bool {
	left := time.Duration(o.leaseEnd - o.clock)
	return now.Sub(o.clockAt) > time.Duration(float64(left)/(1-clockDrift))+orderSlack
}

func (o *ownedServer) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(o.runs), func(a, b *run) int { return compareRuns(a.ref, b.ref) })
}

// ownedIDs returns the servers of this VM, in order.
func (m *Machine) ownedIDs() []identifier.BackendID {
	if m.ownedOrder == nil {
		m.ownedOrder = slices.Sorted(maps.Keys(m.owned))
	}
	return m.ownedOrder
}

func (m *Machine) addServer(o *ownedServer) {
	m.owned[o.ID] = o
	m.ownedOrder = nil // those who walk the old order keep it
}

func (m *Machine) dropServer(o *ownedServer) {
	for _, r := range o.runs {
		m.uncount(r)
	}
	delete(m.owned, o.ID)
	m.ownedOrder = nil
}

func (m *Machine) addRun(o *ownedServer, r *run) {
	o.runs[r.ref.OnServer()] = r
	m.running[r.ref.Task]++
}

func (m *Machine) dropRun(o *ownedServer, r *run) {
	if o.runs[r.ref.OnServer()] != r {
		return
	}
	delete(o.runs, r.ref.OnServer())
	m.uncount(r)
}

func (m *Machine) uncount(r *run) {
	if m.running[r.ref.Task]--; m.running[r.ref.Task] == 0 {
		delete(m.running, r.ref.Task)
	}
}

// allRuns walks the runs at all servers of this VM, in order.
func (m *Machine) allRuns() iter.Seq2[*ownedServer, *run] {
	return func(yield func(*ownedServer, *run) bool) {
		for _, id := range m.ownedIDs() {
			o := m.owned[id]
			for _, r := range o.sortedRuns() {
				if !yield(o, r) {
					return
				}
			}
		}
	}
}

func (m *Machine) ownedRuns() (n int) {
	for _, o := range m.owned {
		n += len(o.runs)
	}
	return n
}
