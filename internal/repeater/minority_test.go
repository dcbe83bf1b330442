package repeater

import (
	"testing"
	"time"
)

// TestPartitionedVMDoesNotDisturbOthers cuts one VM of five off from all others
// for six seconds while it still reaches all servers. Callers of the other VMs
// must not notice, except in the 0.4 s until its servers are taken over.
func TestPartitionedVMDoesNotDisturbOthers(t *testing.T) {
	const length = 14 * time.Second
	sim := newSimulation(5, simConfig{vms: 5, servers: 14, jobs: 400, maxRunTime: 200 * time.Millisecond})
	sim.submitJobs(length)
	sim.schedule(4*time.Second, func() {
		for i := range 4 {
			sim.cutPairFor(4, i, 6*time.Second)
		}
	})
	sim.run(length + 6*time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
	others, onTime := 0, 0
	for _, j := range sim.jobs {
		if j.firstVM == 4 {
			continue
		}
		others++
		if j.onTime() {
			onTime++
		}
	}
	t.Logf("%d of %d jobs of other VMs are on time", onTime, others)
	if onTime*20 < others*19 {
		t.Errorf("%d of %d jobs of other VMs are on time", onTime, others)
	}
}
