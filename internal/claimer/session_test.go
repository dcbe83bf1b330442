package claimer

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// firstChooser makes the middle choice, for sessions without chance.
type firstChooser struct{}

func (firstChooser) choose(_ string, n int) int { return n / 2 }

// session runs a script in a world of three VMs and compares what happened with
// a golden file.
func session(t *testing.T, script func(w *world)) {
	w := newWorld(firstChooser{}, 3, defects{})
	w.settle(12)
	w.tracing = true
	script(w)
	if w.violation != "" {
		t.Error(w.violation)
	}
	g := goldie.New(t, goldie.WithNameSuffix(".golden"))
	g.Assert(t, t.Name(), []byte(strings.Join(w.trace, "\n")+"\n"))
}

// submitAt submits an id to VM i and lets it run until it starts or is answered.
func (w *world) submitAt(i int, id worldID) {
	w.submit(w.on(i), id, 0)
	for len(w.packets) > 0 {
		w.deliver(0)
	}
}

// on returns the process that is alive on VM i.
func (w *world) on(i int) *process {
	for _, p := range w.alive() {
		if p.member.VM == w.vms[i] {
			return p
		}
	}
	return nil
}

// homeOf returns the number of the VM that is home of an id, and of its witness.
func (w *world) pairOf(id identifier.SubmissionID) (home, witness int) {
	pair := PairOf(w.on(0).enroller.Roster(), id)
	for i, vm := range w.vms {
		switch vm {
		case pair.Home.VM:
			home = i
		case pair.Witness.VM:
			witness = i
		}
	}
	return home, witness
}

// newIDAt returns a new id whose home is VM i.
func (w *world) newIDAt(i int) worldID {
	for {
		id := w.newID()
		if home, _ := w.pairOf(id.id); home == i {
			return id
		}
	}
}

func TestSessionResubmission(t *testing.T) {
	session(t, func(w *world) {
		id := w.newID()
		home, _ := w.pairOf(id.id)
		w.submitAt((home+1)%3, id)
		w.submitAt(home, id)
		w.startJob(w.on(home), id.id)
		w.submitAt((home+2)%3, id)
		w.endJob(w.on(home), id.id, false)
		w.settle(3)
		w.submitAt((home+1)%3, id)
		w.submit(w.on(home), id, 1)
	})
}

func TestSessionTakeover(t *testing.T) {
	session(t, func(w *world) {
		ended := w.newID()
		home, witness := w.pairOf(ended.id)
		running := w.newIDAt(home)
		for _, id := range []worldID{ended, running} {
			w.submitAt(home, id)
			w.startJob(w.on(home), id.id)
		}
		w.endJob(w.on(home), ended.id, false)
		w.settleRoster(3)
		w.kill(w.on(home))
		w.boot(w.vms[home], 0)
		w.settleRoster(30)
		w.submitAt(witness, ended)
		w.settleRoster(3)
		w.submitAt(witness, running)
		w.settleRoster(3)
	})
}

func TestSessionDrain(t *testing.T) {
	session(t, func(w *world) {
		id := w.newID()
		home, witness := w.pairOf(id.id)
		w.submitAt(home, id)
		w.startJob(w.on(home), id.id)
		w.drain(w.on(home))
		w.settleRoster(5)
		w.submitAt(witness, id)
		w.settleRoster(2)
		w.endJob(w.on(home), id.id, false)
		w.settleRoster(5)
		w.submitAt(witness, id)
		w.settleRoster(3)
	})
}

func TestSessionPartition(t *testing.T) {
	session(t, func(w *world) {
		id := w.newID()
		home, witness := w.pairOf(id.id)
		w.submitAt(home, id)
		w.startJob(w.on(home), id.id)
		for i := range w.vms {
			if i != home {
				w.cuts[link{min(w.vms[i], w.vms[home]), max(w.vms[i], w.vms[home])}] = true
			}
		}
		w.storeCuts[w.vms[home]] = true
		w.settleRoster(30)
		w.submitAt(witness, id)
		w.submitAt(home, id)
		w.settleRoster(12)
		w.endJob(w.on(home), id.id, false)
		clear(w.cuts)
		clear(w.storeCuts)
		w.settleRoster(20)
		w.submitAt(witness, id)
		w.settleRoster(3)
	})
}

// settleRoster lets time pass without faults; jobs go on running.
func (w *world) settleRoster(steps int) {
	for range steps {
		w.answerStores()
		for len(w.packets) > 0 {
			w.deliver(0)
		}
		w.tickAll(100 * time.Millisecond)
	}
}
