package repeater

import (
	"testing"
	"time"
)

// TestVMCutOffLeavesOthersAlone plays a day on which one VM of five is cut off
// from all others for half of the time and reaches all servers. Callers of the
// others don't notice it, but for the 0.4 s until its servers are taken over.
func TestVMCutOffLeavesOthersAlone(t *testing.T) {
	const length = 14 * time.Second
	w := newWorld(5, worldConfig{vms: 5, servers: 14, jobs: 400, longest: 200 * time.Millisecond})
	w.submitJobs(length)
	w.after(4*time.Second, func() {
		for i := range 4 {
			w.cutPairFor(4, i, 6*time.Second)
		}
	})
	w.run(length + 6*time.Second)
	if len(w.violations) > 0 {
		t.Fatal(w.violations)
	}
	others, onTime := 0, 0
	for _, j := range w.jobs {
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
