package repeater

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/evacuator"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// simulateEvacuations plays a history with evacuations of one or two failure domains among
// faults.
func simulateEvacuations(seed uint64, faults int, d defect) *simulation {
	const length = 20 * time.Second
	sim := newSimulation(seed, simConfig{vms: 5 + int(seed%3), servers: 15, jobs: 120, lateCalls: 0.005 * float64(seed%3), faults: faults, evacuations: true, defect: d})
	sim.verbose = *verbose
	for _, vm := range sim.vms {
		sim.evacuations.follow(vm)
	}
	for i := range 1 + int(seed%2) {
		domain := sim.domain(i)
		at := sim.randomDuration(2*time.Second, 5*time.Second)
		sim.schedule(at, func() { sim.evacuations.change(domain) })
		back := at + sim.randomDuration(7*time.Second, 10*time.Second)
		sim.schedule(back, func() { sim.evacuations.change(domain) })
		if sim.chance(0.5) { // evacuated again at once
			sim.schedule(back+sim.randomDuration(10*time.Millisecond, 300*time.Millisecond), func() { sim.evacuations.change(domain) })
		}
	}
	for range faults / 2 {
		sim.schedule(sim.randomDuration(time.Second, length), sim.injectStoreCut)
	}
	sim.submitJobs(length)
	sim.scheduleFaults(length)
	sim.run(length + 6*time.Second)
	return sim
}

// TestNoStartInEvacuatedDomain guards against tasks that are started in an evacuated
// failure domain, in histories with restarts, cuts, pauses and late calls.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	t.Parallel()
	completed, jobs := 0, 0
	for seed := *firstHistory; seed < *firstHistory+*histories/2; seed++ {
		sim := simulateEvacuations(seed, int(seed%7), noDefect)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.violations, "\n"), strings.Join(sim.trace, "\n"))
		}
		for _, j := range sim.jobs {
			jobs++
			if j.outcome == "completed" {
				completed++
			}
		}
	}
	t.Logf("%d of %d jobs completed", completed, jobs)
}

// TestHistoriesCatchStartsInEvacuatedDomains checks that the histories show a VM that
// follows the store alone, and one that sends tasks to evacuated servers.
func TestHistoriesCatchStartsInEvacuatedDomains(t *testing.T) {
	t.Parallel()
	for _, d := range []defect{ignorePeersEvacuations, startEvacuated} {
		caught := false
		for seed := uint64(0); seed < 200 && !caught; seed++ {
			caught = len(simulateEvacuations(seed, 6, d).violations) > 0
		}
		if !caught {
			t.Errorf("no history shows the defect: %s", d)
		}
	}
}

// TestEvacuationLosesNoAdmittedJob guards against jobs that fail, or run again from the
// start, because their failure domain is evacuated.
func TestEvacuationLosesNoAdmittedJob(t *testing.T) {
	t.Parallel()
	for seed := uint64(0); seed < 60; seed += 3 { // those without late calls, for which runs are stopped, too
		sim := simulateEvacuations(seed, 0, noDefect)
		for _, j := range sim.jobs {
			if j.outcome != "completed" && j.outcome != "refused" {
				t.Errorf("seed %d: job %s: %q", seed, j.id, j.outcome)
			}
		}
		stopped := uint64(0)
		for _, vm := range sim.vms {
			stopped += vm.machine.Counters().Stops
		}
		if len(sim.violations) > 0 || stopped > 0 {
			t.Errorf("seed %d: %d runs were stopped; %v", seed, stopped, sim.violations)
		}
	}
}

// TestEvacuationMovesQueuedTasksAtOnce guards against tasks that wait for an evacuated
// server, or come back to it, until a bound of the operators has passed.
func TestEvacuationMovesQueuedTasksAtOnce(t *testing.T) {
	const bound = 100 * time.Millisecond // a report between VMs and a retry
	sim := newSimulation(3, simConfig{vms: 6, servers: 12, evacuations: true})
	sim.run(2 * time.Second)
	domain := sim.vms[0].machine.opts.Domain
	for i := range 8 {
		j := &simJob{
			sim: sim, id: identifier.SubmissionID(fmt.Sprintf("%016x", i+1)), tasks: 3, cores: 14000, runTime: 300 * time.Millisecond,
			patience: simPatience, crashing: map[identifier.TaskIndex]bool{}, crashes: map[identifier.TaskIndex]int{}, taskStarts: map[identifier.TaskIndex]int{},
		}
		sim.jobs = append(sim.jobs, j)
		j.firstSentAt = sim.now
		j.send()
	}
	sim.run(sim.now.Sub(sim.start) + 20*time.Millisecond)
	sim.evacuations.change(domain)
	for _, vm := range sim.vms {
		vm.step(EvacuationsChanged{List: sim.evacuations.list})
	}
	sim.run(sim.now.Sub(sim.start) + bound)
	for _, vm := range sim.vms {
		for _, q := range vm.machine.queue {
			if vm.machine.queueRefusal(q.msg) == causeEvacuated {
				t.Errorf("vm-%d still queues %v", vm.index, q.msg.Run)
			}
		}
	}
	sim.run(sim.now.Sub(sim.start) + 6*time.Second)
	for _, j := range sim.jobs {
		if j.outcome != "completed" && j.outcome != "refused" {
			t.Errorf("job %s: %q", j.id, j.outcome)
		}
	}
}

// TestVMLearnsEvacuationsFromPeers guards against a new VM that the store doesn't serve and
// that starts tasks in an evacuated failure domain, and against one that never hears that
// the domain was taken back.
func TestVMLearnsEvacuationsFromPeers(t *testing.T) {
	sim := newSimulation(1, simConfig{vms: 4, servers: 8, evacuations: true})
	sim.run(2 * time.Second)
	domain := sim.domain(1)
	sim.evacuations.change(domain)
	sim.run(4 * time.Second)
	sim.cutFromStore[0] = true
	sim.killFor(sim.vms[0], 100*time.Millisecond)
	sim.run(5 * time.Second)
	if !sim.vms[0].machine.evacuations.Evacuated(domain) {
		t.Error("a VM that the store doesn't serve has not heard of an evacuation")
	}
	sim.evacuations.change(domain)
	sim.run(7 * time.Second)
	if sim.vms[0].machine.evacuations.Evacuated(domain) {
		t.Error("a VM that the store doesn't serve has not heard that a domain was taken back")
	}
}

// TestJobWithoutServersIsRefusedAtOnce guards against jobs that wait while the failure
// domains of all their servers are evacuated.
func TestJobWithoutServersIsRefusedAtOnce(t *testing.T) {
	s := newStarter("s-0", "s-1")
	s.answers["s-0"], s.answers["s-1"] = true, true
	s.run(200 * time.Millisecond)
	s.step(EvacuationsChanged{List: evacuator.List{Revision: 7, Domains: []identifier.FailureDomain{"domain"}}})
	job := Job{ID: "job", Route: simRoute(), Version: 1, Tasks: 1, Cores: 14000, Memory: 64, Estimate: 100 * time.Millisecond, Budget: time.Second}
	var got Outcome
	for _, e := range s.machine.Step(s.now, JobSubmitted{Request: 1, Job: job}) {
		if r, ok := e.(Reply); ok {
			got = r.Outcome
		}
	}
	if refused, ok := got.(Refused); !ok || refused.RetryAfter != evacuatedRetryAfter {
		t.Errorf("got %#v", got)
	}
	if !s.machine.ready() {
		t.Error("the VM doesn't answer callers, who then hear nothing of the evacuation")
	}
}

// TestColdServerGetsFewerTasks guards against a server that has started lately and gets as
// many tasks as a warm one.
func TestColdServerGetsFewerTasks(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	o := &ownedServer{Server: Server{Cores: 32000, Memory: 1 << 16, Generation: 1, ColdUntilMillis: now.Add(8 * time.Second).UnixMilli()}, runs: make(map[identifier.RunRef]*run)}
	o.trackWarmup(now)
	if free, _ := o.free(now); free != 32000 {
		t.Errorf("a cold server that runs nothing has %d millicores for one task", free)
	}
	r := &run{home: identifier.Member{VM: "vm"}}
	r.msg.Millicores = 8000
	o.runs[r.ref] = r
	for after, want := range map[time.Duration]identifier.Millicores{0: 0, 4 * time.Second: 12000, 8 * time.Second: 24000} {
		if free, _ := o.free(now.Add(after)); free != want {
			t.Errorf("%v after its start, %d millicores are free, want %d", after, free, want)
		}
	}
}
