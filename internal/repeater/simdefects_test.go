package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// defect is a missing protection against two concurrent runs of a task. A
// history of a simulation with a defect must show a violation.
type defect string

const (
	noDefect               defect = ""
	skipOrphanWait         defect = "a home reruns orphaned tasks without waiting for their runs to end"
	extendUnclaimed        defect = "a new owner extends a server's lease while no home has claimed its runs"
	acceptStaleRequests    defect = "requests that waited through a pause are accepted"
	dropCancels            defect = "a home that gives up a job doesn't stop its runs"
	replayReports          defect = "a silent peer seems to be alive"
	keepRunsAfterPause     defect = "an owner that was paused continues the runs of other homes"
	ignorePause            defect = "a VM doesn't notice that it was paused"
	routeAheadOfEvents     defect = "a VM routes requests ahead of the events that wait, its pause among them"
	holdMessages           defect = "links hold messages until a ping fails"
	trustOldRoutes         defect = "a VM that was paused decides by routes that the store has not confirmed"
	ignorePeersEvacuations defect = "a VM hears of evacuations from the store alone"
	startEvacuated         defect = "a VM starts tasks on evacuated servers"
	noFencing              defect = "servers accept calls with a lower token"
	noExpiry               defect = "starts have no expiry"
	extendOnFirstPoll      defect = "the first poll of a new owner extends the lease"
)

// TestHistoriesCatch checks that each protection is needed: without it, a
// history shows a violation. The search starts at a seed that has shown one.
func TestHistoriesCatch(t *testing.T) {
	const rounds = 400
	for d, first := range map[defect]uint64{
		skipOrphanWait: 0, extendUnclaimed: 0, acceptStaleRequests: 0, dropCancels: 0, replayReports: 0, ignorePause: 0,
		routeAheadOfEvents: 0, trustOldRoutes: 0, holdMessages: 0,
		noFencing: 120, noExpiry: 0, extendOnFirstPoll: 7, keepRunsAfterPause: 0,
	} {
		t.Run(string(d), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < first+rounds; seed++ {
				sim := simulate(seed, d, d)
				if len(sim.violations) == 0 {
					continue
				}
				t.Logf("%s: seed %d: %s", d, seed, sim.violations[0])
				if sim := simulate(seed, d, noDefect); len(sim.violations) > 0 {
					t.Errorf("seed %d shows a violation also with the protection: %s", seed, sim.violations[0])
				}
				return
			}
			t.Errorf("no violation in %d histories from seed %d", rounds, first)
		})
	}
}

// machineDefects returns the defect as an option of a Machine. The option is
// empty for a defect outside the Machine.
func (d defect) machineDefects() defects {
	return defects{
		skipOrphanWait:         d == skipOrphanWait,
		extendUnclaimed:        d == extendUnclaimed,
		keepRunsAfterPause:     d == keepRunsAfterPause,
		acceptStaleRequests:    d == acceptStaleRequests,
		trustOldRoutes:         d == trustOldRoutes,
		startEvacuated:         d == startEvacuated,
		ignorePeersEvacuations: d == ignorePeersEvacuations,
	}
}

// replayLastReports delivers the last load reports of peers again, whether they
// are alive or not.
func (vm *simVM) replayLastReports() {
	for _, other := range vm.sim.vms {
		if other != vm && other.lastReport.Sequence > 0 && other.lastReportFrom == other.member {
			vm.step(PeerMessage{From: other.lastReportFrom, Domain: vm.sim.domain(other.index), Message: other.lastReport})
		}
	}
}

// dropsMessage reports whether the defect keeps a message from being sent.
func (sim *simulation) dropsMessage(m peermessenger.Message) bool {
	_, cancels := m.(peermessenger.CancelRuns)
	return cancels && sim.cfg.defect == dropCancels
}

// farFutureExpiry is an expiry that is never reached.
const farFutureExpiry = ServerTime(time.Hour)
