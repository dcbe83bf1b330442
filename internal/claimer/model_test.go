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

// histories is the number of histories in CI. More are run by the flag
// -rapid.checks.
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

// rapidChooser draws from rapid, which prefers small numbers, and shifts what it
// draws evenly.
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

// faults are the kinds of fault that the histories together must reach.
var faults = []string{
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
		w := history(newRapidChooser(rt), defects{})
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
		mu.Lock()
		defer mu.Unlock()
		ran++
		for kind, n := range w.reached {
			total[kind] += n
		}
	})
	t.Logf("%d histories", ran)
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%10d %s", total[kind], kind)
	}
	for _, kind := range faults {
		if total[kind] == 0 {
			t.Errorf("no history reached %q", kind)
		}
	}
}

// history runs one failure domain through faults and then without.
func history(pick chooser, d defects) *world {
	w := newWorld(pick, 1+pick.choose("vms", 5), d)
	w.runHistory()
	return w
}

func (w *world) runHistory() {
	pick := w.pick
	w.settle(5 + pick.choose("quiet", 20))
	steps := 20 + pick.choose("steps", 150)
	for range steps {
		w.act()
		if w.violation != "" {
			return
		}
	}
	w.checkLiveness()
	w.countLosses()
}

func (w *world) countLosses() {
	for _, p := range w.processes {
		for s := range p.claimer.shards {
			if p.claimer.shards[s].lostBefore > 0 {
				w.reached["lossAccepted"]++
			}
		}
	}
}

// act takes one step of a history, chosen at random.
func (w *world) act() {
	switch n := w.pick.choose("action", 100); {
	case n < 34:
		w.actDeliver()
	case n < 48:
		w.tickAll(time.Duration(1+w.pick.choose("tick", 6)) * 50 * time.Millisecond)
	case n < 60:
		w.actSubmit()
	case n < 68:
		w.actJob()
	case n < 76:
		w.actStore()
	case n < 94:
		w.actFault()
	case n < 97:
		w.settleStep(100 * time.Millisecond)
	default:
		w.settle(1 + w.pick.choose("calm", 30))
	}
}

func (w *world) actDeliver() {
	if len(w.packets) == 0 {
		return
	}
	for range 1 + w.pick.choose("burst", 8) {
		if len(w.packets) == 0 {
			return
		}
		i := 0
		if w.pick.choose("inOrder", 3) == 0 {
			i = w.pick.choose("packet", len(w.packets))
		}
		switch w.pick.choose("fate", 12) {
		case 0:
			w.reached["dropped"]++
			w.lose(w.packets[i])
			w.packets = slices.Delete(w.packets, i, i+1)
		case 1:
			if w.packets[i].ask == nil {
				w.reached["duplicated"]++
				again := *w.packets[i]
				w.packets = append(w.packets, &again)
			}
			w.deliver(i)
		default:
			w.deliver(i)
		}
	}
}

func (w *world) pickProcess(processes []*process) *process {
	if len(processes) == 0 {
		return nil
	}
	return processes[w.pick.choose("process", len(processes))]
}

func (w *world) actSubmit() {
	p := w.pickProcess(w.running())
	if p == nil {
		return
	}
	digest := byte(0)
	var id worldID
	switch n := w.pick.choose("id", 10); {
	case n < 4 || len(w.ids) == 0:
		id = w.newID()
	default:
		id = w.ids[len(w.ids)-1-w.pick.choose("which", min(4, len(w.ids)))]
		w.reached["resubmitted"]++
	}
	if w.pick.choose("body", 12) == 0 {
		digest = 1
		w.reached["otherBody"]++
	}
	if w.pick.choose("future", 40) == 0 {
		id = worldID{id: identifier.SubmissionID(fmt.Sprintf("ahead:%d", len(w.ids))), created: w.now.Add(time.Duration(w.pick.choose("ahead", 4)) * worldClockBound)}
		w.ids = append(w.ids, id)
	}
	if w.pick.choose("everywhere", 4) == 0 {
		for _, q := range w.running() {
			w.submit(q, id, digest)
		}
		return
	}
	w.submit(p, id, digest)
}

func (w *world) actJob() {
	p := w.pickProcess(w.running())
	if p == nil || len(p.jobs) == 0 {
		return
	}
	ids := w.sortedIDs(p)
	id := ids[w.pick.choose("job", len(ids))]
	switch {
	case p.jobs[id].started:
		w.endJob(p, id, w.pick.choose("failed", 4) == 0)
	case w.pick.choose("admit", 5) == 0:
		w.endJob(p, id, false)
	default:
		w.startJob(p, id)
	}
}

func (w *world) actStore() {
	for _, p := range w.running() {
		if p.storeOp != nil {
			w.answerStore(p, storeResult(max(0, w.pick.choose("store", 8)-4)))
		}
	}
	if len(w.lateWrites) > 0 && w.pick.choose("lateWrite", 2) == 0 {
		w.swapStore(w.lateWrites[0])
		w.lateWrites = w.lateWrites[1:]
	}
}

func (w *world) actFault() {
	switch w.pick.choose("fault", 15) {
	case 0:
		w.actKill()
	case 1:
		w.actPause()
	case 2:
		for _, p := range w.processes {
			if p.paused {
				w.resume(p)
			}
		}
	case 3:
		w.actBoot()
	case 4:
		w.actCut()
	case 5:
		clear(w.cuts)
		clear(w.storeCuts)
	case 6:
		w.storeDown = !w.storeDown
		w.reached["storeDown"]++
	case 7:
		w.actDelete()
	case 8:
		if p := w.pickProcess(w.running()); p != nil && w.pick.choose("drain", 2) == 0 {
			w.drain(p)
		}
	case 9:
		w.actList()
	case 10:
		w.actPeerLost()
	case 11:
		w.actSkew()
	case 12:
		w.actJump()
	case 13, 14:
		if p := w.pickProcess(w.alive()); p != nil {
			p.deaf = !p.deaf
			w.reached["rosterMessagesLost"]++
		}
	}
}

func (w *world) actKill() {
	if p := w.pickProcess(w.alive()); p != nil && w.pick.choose("kill", 2) == 0 {
		w.reached["killed"]++
		w.kill(p)
	}
}

func (w *world) actPause() {
	if p := w.pickProcess(w.running()); p != nil {
		w.reached["paused"]++
		w.pause(p)
	}
}

func (w *world) actBoot() {
	for _, vm := range w.vms {
		if !w.deleted[vm] && !w.occupied(vm) {
			w.reached["replaced"]++
			w.boot(vm, w.skew())
			return
		}
	}
	if len(w.vms) < 7 && w.pick.choose("newVM", 3) == 0 {
		w.addVM(identifier.VMID(fmt.Sprintf("vm%d", len(w.vms))))
	}
}

func (w *world) skew() time.Duration {
	return time.Duration(w.pick.choose("skew", 5)-2) * worldClockBound / 2
}

func (w *world) actCut() {
	a := w.vms[w.pick.choose("cutA", len(w.vms))]
	b := w.vms[w.pick.choose("cutB", len(w.vms))]
	if a == b {
		w.storeCuts[a] = true
		return
	}
	w.cuts[link{min(a, b), max(a, b)}] = true
}

func (w *world) actDelete() {
	vm := w.vms[w.pick.choose("delete", len(w.vms))]
	if w.deleted[vm] || w.pick.choose("really", 3) > 0 {
		return
	}
	w.reached["deleted"]++
	w.deleted[vm] = true
	for _, p := range w.alive() {
		if p.member.VM == vm {
			w.kill(p)
		}
	}
	w.list()
}

func (w *world) actList() {
	if p := w.pickProcess(w.running()); p != nil {
		lag := listLag * time.Duration(w.pick.choose("lag", 5)) / 4
		if w.lists[len(w.lists)-1].since.After(w.now.Add(-lag)) {
			w.reached["oldList"]++
		}
		w.readList(p, lag)
	}
}

func (w *world) actPeerLost() {
	p, q := w.pickProcess(w.running()), w.pickProcess(w.processes)
	if p != nil && q != nil && p != q {
		w.reached["peerLost"]++
		w.stepClaimer(p, w.clock(p), PeerLost{q.member})
	}
}

func (w *world) actSkew() {
	if p := w.pickProcess(w.alive()); p != nil {
		w.reached["clockSkew"]++
		p.offset = w.skew()
	}
}

func (w *world) actJump() {
	if w.pick.choose("far", 6) == 0 {
		w.reached["expired"]++
		w.now = w.now.Add(worldRetention)
	}
	w.now = w.now.Add(time.Duration(1+w.pick.choose("jump", 4)) * time.Second / 2)
}

// checkLiveness ends the faults and expects every ask to be answered, and new
// submissions to be served.
func (w *world) checkLiveness() {
	w.heal()
	w.settle(30)
	for _, p := range w.alive() {
		if p.draining {
			w.kill(p) // its deadline has come
		}
	}
	w.heal()
	w.settle(90)
	if len(w.alive()) == 0 || w.violation != "" {
		return
	}
	var fresh []*worldAsk
	for range 6 {
		p := w.pickProcess(w.alive())
		id := worldID{id: identifier.SubmissionID(fmt.Sprintf("fresh:%d", len(w.ids))), created: w.now}
		w.ids = append(w.ids, id)
		fresh = append(fresh, w.submit(p, id, 0))
	}
	for _, id := range w.ids {
		w.submit(w.pickProcess(w.alive()), id, 0)
	}
	w.settle(20)
	for _, a := range w.asks {
		if !a.answered {
			w.fail("%s was never answered", a.id)
		}
	}
	for _, a := range fresh {
		if _, complete := w.answers[a.id].(declarer.Complete); !complete && len(w.alive()) > 0 {
			w.fail("%s was not served after the faults had ended", a.id)
		}
	}
}

// TestModelFindsDefects shows that the invariants see the defects of a protocol
// that lacks one of its rules. The search begins at a seed that is known to be
// near one that shows the defect.
func TestModelFindsDefects(t *testing.T) {
	tests := []struct {
		name     string
		defects  defects
		fromSeed uint64
	}{
		{"witness ignores the epoch", defects{witnessIgnoresEpoch: true}, 2160},
		{"home ignores the epoch", defects{homeIgnoresEpoch: true}, 740},
		{"any earlier whole member", defects{askAnyEarlierWhole: true}, 0},
		{"an epoch is skipped", defects{skipEpoch: true}, 70},
		{"loss is guessed", defects{guessLoss: true}, 320},
		{"another body is ignored", defects{ignoreBody: true}, 0},
		{"asks wait for ever", defects{waitForever: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := tt.fromSeed; seed < tt.fromSeed+defectHistories; seed++ {
				w := history(seededChooser{rand.New(rand.NewPCG(seed, 0))}, tt.defects)
				if w.violation != "" {
					t.Logf("seed %d: %s", seed, w.violation)
					return
				}
			}
			t.Errorf("no violation in %d histories", defectHistories)
		})
	}
}

// defectHistories bounds the histories in which a seeded defect must be found.
const defectHistories = 5000
