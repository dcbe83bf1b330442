package claimer

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// histories is the number of histories that CI runs. The flag -rapid.checks
// sets another number.
const histories = 1000

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": fmt.Sprint(histories)} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// rapidChooser draws from rapid, which prefers small numbers, and shifts each
// draw to make the choices uniform.
type rapidChooser struct {
	t     *rapid.T
	shift *rand.Rand
}

func newRapidChooser(t *rapid.T) rapidChooser {
	seed := rapid.Uint64().Draw(t, "shift")
	return rapidChooser{t: t, shift: rand.New(rand.NewPCG(seed, 0))}
}

func (c rapidChooser) choose(label string, n int) int {
	return (rapid.IntRange(0, n-1).Draw(c.t, label) + c.shift.IntN(n)) % n
}

type seededChooser struct{ r *rand.Rand }

func (c seededChooser) choose(_ string, n int) int { return c.r.IntN(n) }

// requiredCoverage lists the faults and endings that the histories together
// must reach.
var requiredCoverage = []string{
	"reordered", "duplicated", "dropped", "cutLink", "killed", "paused", "replaced", "deleted", "drained",
	"storeFailed", "storeAnswerLost", "storeLateWrite", "storeConflict", "storeDown", "clockSkew", "resubmitted",
	"otherBody", "epochSkipped", "lateByTwoEpochs", "lossAccepted", "peerLost", "rosterMessagesLost", "oldList", "expired",
	"ending:complete", "ending:failed, runnerLost", "ending:unverifiable, homeUnreachable",
	"ending:unverifiable, recordsLost", "ending:unverifiable, recordExpired", "ending:unverifiable, bodyMismatch",
	"ending:unverifiable, answerLost", "ending:refused, queueFull", "ending:refused, badRequest",
}

func TestModel(t *testing.T) {
	var mu sync.Mutex
	total := map[string]int{}
	ran := 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := simulate(newRapidChooser(rt), defects{})
		if sim.violation != "" {
			rt.Fatal(sim.violation)
		}
		mu.Lock()
		defer mu.Unlock()
		ran++
		for kind, n := range sim.coverage {
			total[kind] += n
		}
	})
	t.Logf("%d histories", ran)
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%10d %s", total[kind], kind)
	}
	for _, kind := range requiredCoverage {
		if total[kind] == 0 {
			t.Errorf("no history reached %q", kind)
		}
	}
}

// simulate runs one failure domain with faults and then without.
func simulate(pick chooser, d defects) *simulation {
	sim := newSimulation(pick, 1+pick.choose("vms", 5), d)
	sim.runHistory()
	return sim
}

func (sim *simulation) runHistory() {
	pick := sim.pick
	sim.settle(5 + pick.choose("quiet", 20))
	steps := 20 + pick.choose("steps", 150)
	for range steps {
		sim.act()
		if sim.violation != "" {
			return
		}
	}
	sim.checkLiveness()
	sim.countLosses()
}

func (sim *simulation) countLosses() {
	for _, p := range sim.processes {
		for s := range p.claimer.shards {
			if p.claimer.shards[s].lostBefore > 0 {
				sim.coverage["lossAccepted"]++
			}
		}
	}
}

// act takes one random step of a history.
func (sim *simulation) act() {
	switch n := sim.pick.choose("action", 100); {
	case n < 34:
		sim.actDeliver()
	case n < 48:
		sim.tickAll(time.Duration(1+sim.pick.choose("tick", 6)) * 50 * time.Millisecond)
	case n < 60:
		sim.actSubmit()
	case n < 68:
		sim.actJob()
	case n < 76:
		sim.actStore()
	case n < 94:
		sim.actFault()
	case n < 97:
		sim.settleStep(100 * time.Millisecond)
	default:
		sim.settle(1 + sim.pick.choose("calm", 30))
	}
}

func (sim *simulation) actDeliver() {
	if len(sim.packets) == 0 {
		return
	}
	for range 1 + sim.pick.choose("burst", 8) {
		if len(sim.packets) == 0 {
			return
		}
		i := 0
		if sim.pick.choose("inOrder", 3) == 0 {
			i = sim.pick.choose("packet", len(sim.packets))
		}
		switch sim.pick.choose("fate", 12) {
		case 0:
			sim.coverage["dropped"]++
			sim.drop(sim.packets[i])
			sim.packets = slices.Delete(sim.packets, i, i+1)
		case 1:
			if sim.packets[i].request == nil {
				sim.coverage["duplicated"]++
				again := *sim.packets[i]
				sim.packets = append(sim.packets, &again)
			}
			sim.deliver(i)
		default:
			sim.deliver(i)
		}
	}
}

func (sim *simulation) pickProcess(processes []*process) *process {
	if len(processes) == 0 {
		return nil
	}
	return processes[sim.pick.choose("process", len(processes))]
}

func (sim *simulation) actSubmit() {
	p := sim.pickProcess(sim.running())
	if p == nil {
		return
	}
	digest := byte(0)
	var id submission
	switch n := sim.pick.choose("id", 10); {
	case n < 4 || len(sim.submissions) == 0:
		id = sim.newID()
	default:
		id = sim.submissions[len(sim.submissions)-1-sim.pick.choose("which", min(4, len(sim.submissions)))]
		sim.coverage["resubmitted"]++
	}
	if sim.pick.choose("body", 12) == 0 {
		digest = 1
		sim.coverage["otherBody"]++
	}
	if sim.pick.choose("future", 40) == 0 {
		id = submission{id: identifier.SubmissionID(fmt.Sprintf("ahead:%d", len(sim.submissions))), created: sim.now.Add(time.Duration(sim.pick.choose("ahead", 4)) * testClockBound)}
		sim.submissions = append(sim.submissions, id)
	}
	if sim.pick.choose("everywhere", 4) == 0 {
		for _, q := range sim.running() {
			sim.submit(q, id, digest)
		}
		return
	}
	sim.submit(p, id, digest)
}

func (sim *simulation) actJob() {
	p := sim.pickProcess(sim.running())
	if p == nil || len(p.jobs) == 0 {
		return
	}
	ids := sim.jobIDs(p)
	id := ids[sim.pick.choose("job", len(ids))]
	switch {
	case p.jobs[id].started:
		sim.endJob(p, id, sim.pick.choose("failed", 4) == 0)
	case sim.pick.choose("admit", 5) == 0:
		sim.endJob(p, id, false)
	default:
		sim.startJob(p, id)
	}
}

func (sim *simulation) actStore() {
	for _, p := range sim.running() {
		if p.storeOp != nil {
			sim.answerStore(p, storeResult(max(0, sim.pick.choose("store", 8)-4)))
		}
	}
	if len(sim.lateWrites) > 0 && sim.pick.choose("lateWrite", 2) == 0 {
		sim.swapStore(sim.lateWrites[0])
		sim.lateWrites = sim.lateWrites[1:]
	}
}

func (sim *simulation) actFault() {
	switch sim.pick.choose("fault", 15) {
	case 0:
		sim.actKill()
	case 1:
		sim.actPause()
	case 2:
		for _, p := range sim.processes {
			if p.paused {
				sim.resume(p)
			}
		}
	case 3:
		sim.actBoot()
	case 4:
		sim.actCut()
	case 5:
		clear(sim.cuts)
		clear(sim.storeCuts)
	case 6:
		sim.storeDown = !sim.storeDown
		sim.coverage["storeDown"]++
	case 7:
		sim.actDelete()
	case 8:
		if p := sim.pickProcess(sim.running()); p != nil && sim.pick.choose("drain", 2) == 0 {
			sim.drain(p)
		}
	case 9:
		sim.actList()
	case 10:
		sim.actPeerUnreachable()
	case 11:
		sim.actSkew()
	case 12:
		sim.actJump()
	case 13, 14:
		if p := sim.pickProcess(sim.alive()); p != nil {
			p.losesRosterMessages = !p.losesRosterMessages
			sim.coverage["rosterMessagesLost"]++
		}
	}
}

func (sim *simulation) actKill() {
	if p := sim.pickProcess(sim.alive()); p != nil && sim.pick.choose("kill", 2) == 0 {
		sim.coverage["killed"]++
		sim.kill(p)
	}
}

func (sim *simulation) actPause() {
	if p := sim.pickProcess(sim.running()); p != nil {
		sim.coverage["paused"]++
		sim.pause(p)
	}
}

func (sim *simulation) actBoot() {
	for _, vm := range sim.vms {
		if !sim.deleted[vm] && !sim.hasProcess(vm) {
			sim.coverage["replaced"]++
			sim.boot(vm, sim.skew())
			return
		}
	}
	if len(sim.vms) < 7 && sim.pick.choose("newVM", 3) == 0 {
		sim.addVM(identifier.VMID(fmt.Sprintf("vm%d", len(sim.vms))))
	}
}

func (sim *simulation) skew() time.Duration {
	return time.Duration(sim.pick.choose("skew", 5)-2) * testClockBound / 2
}

func (sim *simulation) actCut() {
	a := sim.vms[sim.pick.choose("cutA", len(sim.vms))]
	b := sim.vms[sim.pick.choose("cutB", len(sim.vms))]
	if a == b {
		sim.storeCuts[a] = true
		return
	}
	sim.cuts[link{min(a, b), max(a, b)}] = true
}

func (sim *simulation) actDelete() {
	vm := sim.vms[sim.pick.choose("delete", len(sim.vms))]
	if sim.deleted[vm] || sim.pick.choose("really", 3) > 0 {
		return
	}
	sim.coverage["deleted"]++
	sim.deleted[vm] = true
	for _, p := range sim.alive() {
		if p.member.VM == vm {
			sim.kill(p)
		}
	}
	sim.appendVMList()
}

func (sim *simulation) actList() {
	if p := sim.pickProcess(sim.running()); p != nil {
		lag := listLag * time.Duration(sim.pick.choose("lag", 5)) / 4
		if sim.vmLists[len(sim.vmLists)-1].since.After(sim.now.Add(-lag)) {
			sim.coverage["oldList"]++
		}
		sim.readVMList(p, lag)
	}
}

func (sim *simulation) actPeerUnreachable() {
	p, q := sim.pickProcess(sim.running()), sim.pickProcess(sim.processes)
	if p != nil && q != nil && p != q {
		sim.coverage["peerLost"]++
		sim.stepClaimer(p, sim.clock(p), PeerUnreachable{q.member})
	}
}

func (sim *simulation) actSkew() {
	if p := sim.pickProcess(sim.alive()); p != nil {
		sim.coverage["clockSkew"]++
		p.offset = sim.skew()
	}
}

func (sim *simulation) actJump() {
	if sim.pick.choose("far", 6) == 0 {
		sim.coverage["expired"]++
		sim.now = sim.now.Add(testRetention)
	}
	sim.now = sim.now.Add(time.Duration(1+sim.pick.choose("jump", 4)) * time.Second / 2)
}

// checkLiveness ends the faults and checks that every request is answered and
// that new submissions complete.
func (sim *simulation) checkLiveness() {
	sim.heal()
	sim.settle(30)
	for _, p := range sim.alive() {
		if p.draining {
			sim.kill(p) // its drain deadline has passed
		}
	}
	sim.heal()
	sim.settle(90)
	if len(sim.alive()) == 0 || sim.violation != "" {
		return
	}
	var fresh []*clientRequest
	for range 6 {
		p := sim.pickProcess(sim.alive())
		id := submission{id: identifier.SubmissionID(fmt.Sprintf("fresh:%d", len(sim.submissions))), created: sim.now}
		sim.submissions = append(sim.submissions, id)
		fresh = append(fresh, sim.submit(p, id, 0))
	}
	for _, id := range sim.submissions {
		sim.submit(sim.pickProcess(sim.alive()), id, 0)
	}
	sim.settle(20)
	for _, req := range sim.requests {
		if !req.answered {
			sim.fail("%s was never answered", req.id)
		}
	}
	for _, req := range fresh {
		if _, complete := sim.lastEndings[req.id].(declarer.Complete); !complete && len(sim.alive()) > 0 {
			sim.fail("%s did not complete after the faults had ended", req.id)
		}
	}
}

// TestModelFindsDefects checks that the invariants detect a protocol that lacks
// one of its rules. Each search starts at a seed shortly before one that shows
// the defect.
func TestModelFindsDefects(t *testing.T) {
	tests := []struct {
		name     string
		defects  defects
		fromSeed uint64
	}{
		{"witness ignores the epoch", defects{witnessIgnoresEpoch: true}, 2160},
		{"home ignores the epoch", defects{homeIgnoresEpoch: true}, 740},
		{"takeover stops at any caught-up member", defects{skipToAnyCaughtUp: true}, 0},
		{"takeover skips an epoch", defects{skipEpoch: true}, 70},
		{"unreachable members are treated as terminated", defects{treatUnreachableAsTerminated: true}, 320},
		{"a different body is ignored", defects{ignoreBody: true}, 0},
		{"requests never time out", defects{waitForever: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := tt.fromSeed; seed < tt.fromSeed+defectHistories; seed++ {
				sim := simulate(seededChooser{rand.New(rand.NewPCG(seed, 0))}, tt.defects)
				if sim.violation != "" {
					t.Logf("seed %d: %s", seed, sim.violation)
					return
				}
			}
			t.Errorf("no violation in %d histories", defectHistories)
		})
	}
}

// defectHistories bounds the histories in which a seeded defect must be found.
const defectHistories = 5000
