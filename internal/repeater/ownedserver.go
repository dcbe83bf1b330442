package repeater

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/pacer"
	"github.com/peppertrack/peppertrack/internal/pairmeter"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// ownerPhase is the stage of a VM's ownership of a server.
type ownerPhase uint8

const (
	phaseTaking   ownerPhase = iota // the first poll is not answered yet
	phaseClaiming                   // homes may claim the runs that were found
	phaseClearing                   // unclaimed runs are being stopped
	phaseReady
	phaseReleasing // no more runs are started
)

// ownedServer is a backend server that this VM controls.
type ownedServer struct {
	Server
	token         identifier.FencingToken
	confirmed     bool // the server has accepted the token
	phase         ownerPhase
	claimUntil    time.Time
	pendingClaims []pendingClaim // claims that wait for a poll
	releaseTo     identifier.Member
	listed        bool
	evacuated     bool          // its failure domain is
	warmup        time.Duration // that its process needs after its start, as far as this VM has seen
	warmupOf      identifier.Generation

	clock       ServerTime // the server's time at clockAt
	clockAt     time.Time
	clockKnown  bool
	generation  identifier.Generation
	leaseEnd    ServerTime // of the lease that its runs share: the latest expiry that was asked for
	lastSeenEnd uint64

	runs             map[identifier.RunRef]*run
	openPoll         CallID // 0: no poll is open
	polledAt         time.Time
	nextPollAt       time.Time
	unansweredCalls  int       // consecutive calls without an answer
	lastUnansweredAt time.Time // when a call last timed out
	goneSince        time.Time // when it first refused a connection; zero: it has not since it last answered

	pace           pacer.Meter
	usualPaceSince time.Time // when the latest run began that has ended as fast as usual
	failuresInRow  int
	suspendedUntil time.Time
	suspension     time.Duration
	fullUntil      time.Time // it refused a start for lack of room
}

// pendingClaim is a claim that waits for the answer to a poll that is sent
// after it.
type pendingClaim struct {
	at   time.Time
	from identifier.Member
	run  peermessenger.ClaimedRun
}

// runState is the state of a run at an owned server.
type runState uint8

const (
	runStarting   runState = iota // the start is not answered yet
	runUnanswered                 // the start timed out, and no poll since has shown it
	runRunning
	runStopping
	runFound // found on the server, not claimed by a home yet
)

// run is a run at an owned server.
type run struct {
	ref            identifier.RunRef
	home           identifier.Member
	msg            peermessenger.RunTask
	state          runState
	knownSince     time.Time // when it was created or found
	startedAt      time.Time
	generation     identifier.Generation // of its server; 0: unknown
	stopCause      string
	stopSince      time.Time
	stopCall       CallID // the latest stop, while its answer is open
	stopSentAt     time.Time
	stoppedAt      time.Time // when the stop was accepted
	callBeforeStop CallID    // the latest call when the stop was accepted
	stopRetryAt    time.Time
	unansweredAt   time.Time // when its start timed out; zero: it did not
	mayBeRerun     bool      // its home may start the task on another server at any time
	progress       float64
	stoppedRuns    int                              // earlier runs of the task that were stopped or lost
	beside         map[pairmeter.Kind]time.Duration // for how long runs that have left the server ran beside it
}

// startUnanswered reports whether the run's start timed out, so that it may not be at
// the server.
func (r *run) startUnanswered() bool { return !r.unansweredAt.IsZero() }

// mayHaveStarted reports whether the server may have the run. While its start is open, the
// answer will show that.
func (r *run) mayHaveStarted() bool { return r.state != runStarting }

// usable reports whether the server accepts work, now or when current runs end.
func (o *ownedServer) usable(now time.Time) bool {
	return o.phase == phaseReady && o.listed && !o.Leaving && !o.evacuated && o.unansweredCalls == 0 && !now.Before(o.suspendedUntil)
}

// canStart reports whether a run may be started on the server now, if it has
// room.
func (o *ownedServer) canStart(now time.Time) bool {
	onProbation := o.suspension > 0
	if onProbation && len(o.runs) > 0 || o.runsAlone() {
		return false
	}
	return o.usable(now) && !now.Before(o.fullUntil) && o.clockKnown && !o.mustNotExtendLease(now)
}

// runsAlone reports whether the server is kept free for one run.
func (o *ownedServer) runsAlone() bool {
	for _, r := range o.runs {
		if r.msg.Alone {
			return true
		}
	}
	return false
}

// free returns the capacity that no run occupies. A run counts until the server
// lists its end, and one whose demand is unknown leaves nothing.
func (o *ownedServer) free(now time.Time) (identifier.Millicores, identifier.Mebibytes) {
	cores, memory := o.warmCores(now), o.Memory
	for _, r := range o.runs {
		if r.home == (identifier.Member{}) {
			return 0, 0
		}
		cores -= r.msg.Millicores
		memory -= r.msg.Memory
	}
	return max(cores, 0), max(memory, 0)
}

// serverNow estimates the time on the server's clock, which may be slow. A
// lease extended to an expiry computed from it is never longer than intended.
func (o *ownedServer) serverNow(now time.Time) ServerTime {
	return o.clock + ServerTime(float64(now.Sub(o.clockAt))*(1-clockDrift))
}

// leaseLapsed reports whether the server's lease has lapsed at the latest expiry
// that was ever asked for, even on the slowest clock that the server may have. A
// later owner doesn't extend the lease while the server holds a run that no home
// has claimed.
func (o *ownedServer) leaseLapsed(now time.Time) bool {
	left := time.Duration(o.leaseEnd - o.clock)
	return now.Sub(o.clockAt) > time.Duration(float64(left)/(1-clockDrift))+answerAllowance
}

func (o *ownedServer) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(o.runs), func(a, b *run) int { return compareRuns(a.ref, b.ref) })
}

// runNames returns the runs at the server for the log.
func (o *ownedServer) runNames() []string {
	names := make([]string, 0, len(o.runs))
	for _, r := range o.sortedRuns() {
		names = append(names, fmt.Sprintf("%v#%d", r.ref.Task, r.ref.Number))
	}
	return names[:min(len(names), maxLoggedTasks)]
}

// ownedIDs returns the servers of this VM, sorted.
func (m *Machine) ownedIDs() []identifier.BackendID {
	if m.ownedInOrder == nil {
		m.ownedInOrder = slices.Sorted(maps.Keys(m.owned))
	}
	return m.ownedInOrder
}

func (m *Machine) addOwned(o *ownedServer) {
	m.owned[o.ID] = o
	m.ownedInOrder = nil // callers that iterate over the old slice keep it
	m.assignmentInput.stale = true
}

func (m *Machine) removeOwned(o *ownedServer) {
	for _, r := range o.runs {
		m.uncountRun(r)
	}
	delete(m.owned, o.ID)
	m.ownedInOrder = nil
}

func (m *Machine) addRun(o *ownedServer, r *run) {
	o.runs[r.ref.OnServer()] = r
	m.runsOfTask[r.ref.Task]++
}

func (m *Machine) dropRun(o *ownedServer, r *run) {
	if o.runs[r.ref.OnServer()] != r {
		return
	}
	delete(o.runs, r.ref.OnServer())
	m.uncountRun(r)
	m.addOverlap(o, r)
}

func (m *Machine) uncountRun(r *run) {
	if m.runsOfTask[r.ref.Task]--; m.runsOfTask[r.ref.Task] == 0 {
		delete(m.runsOfTask, r.ref.Task)
	}
}

// allRuns iterates over the runs at all servers of this VM, in a fixed order.
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

func (m *Machine) ownedRunCount() (n int) {
	for _, o := range m.owned {
		n += len(o.runs)
	}
	return n
}
