package claimer

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// middleChooser makes the middle choice, so that sessions are deterministic.
type middleChooser struct{}

func (middleChooser) choose(_ string, n int) int { return n / 2 }

// runSession runs a script in a simulation of three VMs and compares its trace
// with a golden file.
func runSession(t *testing.T, script func(sim *simulation)) {
	sim := newSimulation(middleChooser{}, 3, defects{})
	sim.settle(12)
	sim.tracing = true
	script(sim)
	if sim.violation != "" {
		t.Error(sim.violation)
	}
	g := goldie.New(t, goldie.WithNameSuffix(".golden"))
	g.Assert(t, t.Name(), []byte(strings.Join(sim.trace, "\n")+"\n"))
}

// submitAt submits an id to VM i and delivers all messages.
func (sim *simulation) submitAt(i int, id submission) {
	sim.submit(sim.processOn(i), id, 0)
	for len(sim.packets) > 0 {
		sim.deliver(0)
	}
}

// processOn returns the live process on VM i.
func (sim *simulation) processOn(i int) *process {
	for _, p := range sim.alive() {
		if p.member.VM == sim.vms[i] {
			return p
		}
	}
	return nil
}

// pairOf returns the numbers of the VMs that are the home and the witness of an
// id.
func (sim *simulation) pairOf(id identifier.SubmissionID) (home, witness int) {
	pair := PairOf(sim.processOn(0).enroller.Roster(), id)
	for i, vm := range sim.vms {
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
func (sim *simulation) newIDAt(i int) submission {
	for {
		id := sim.newID()
		if home, _ := sim.pairOf(id.id); home == i {
			return id
		}
	}
}

func TestSessionResubmission(t *testing.T) {
	runSession(t, func(sim *simulation) {
		id := sim.newID()
		home, _ := sim.pairOf(id.id)
		sim.submitAt((home+1)%3, id)
		sim.submitAt(home, id)
		sim.startJob(sim.processOn(home), id.id)
		sim.submitAt((home+2)%3, id)
		sim.endJob(sim.processOn(home), id.id, false)
		sim.settle(3)
		sim.submitAt((home+1)%3, id)
		sim.submit(sim.processOn(home), id, 1)
	})
}

func TestSessionTakeover(t *testing.T) {
	runSession(t, func(sim *simulation) {
		ended := sim.newID()
		home, witness := sim.pairOf(ended.id)
		running := sim.newIDAt(home)
		for _, id := range []submission{ended, running} {
			sim.submitAt(home, id)
			sim.startJob(sim.processOn(home), id.id)
		}
		sim.endJob(sim.processOn(home), ended.id, false)
		sim.settleRoster(3)
		sim.kill(sim.processOn(home))
		sim.boot(sim.vms[home], 0)
		sim.settleRoster(30)
		sim.submitAt(witness, ended)
		sim.settleRoster(3)
		sim.submitAt(witness, running)
		sim.settleRoster(3)
	})
}

func TestSessionDrain(t *testing.T) {
	runSession(t, func(sim *simulation) {
		id := sim.newID()
		home, witness := sim.pairOf(id.id)
		sim.submitAt(home, id)
		sim.startJob(sim.processOn(home), id.id)
		sim.drain(sim.processOn(home))
		sim.settleRoster(5)
		sim.submitAt(witness, id)
		sim.settleRoster(2)
		sim.endJob(sim.processOn(home), id.id, false)
		sim.settleRoster(5)
		sim.submitAt(witness, id)
		sim.settleRoster(3)
	})
}

func TestSessionPartition(t *testing.T) {
	runSession(t, func(sim *simulation) {
		id := sim.newID()
		home, witness := sim.pairOf(id.id)
		sim.submitAt(home, id)
		sim.startJob(sim.processOn(home), id.id)
		for i := range sim.vms {
			if i != home {
				sim.cuts[link{min(sim.vms[i], sim.vms[home]), max(sim.vms[i], sim.vms[home])}] = true
			}
		}
		sim.storeCuts[sim.vms[home]] = true
		sim.settleRoster(30)
		sim.submitAt(witness, id)
		sim.submitAt(home, id)
		sim.settleRoster(12)
		sim.endJob(sim.processOn(home), id.id, false)
		clear(sim.cuts)
		clear(sim.storeCuts)
		sim.settleRoster(20)
		sim.submitAt(witness, id)
		sim.settleRoster(3)
	})
}

// settleRoster lets time pass without faults; jobs keep running.
func (sim *simulation) settleRoster(steps int) {
	for range steps {
		sim.answerStores()
		for len(sim.packets) > 0 {
			sim.deliver(0)
		}
		sim.tickAll(100 * time.Millisecond)
	}
}
