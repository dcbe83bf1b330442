package repeater

import (
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

// TestLagging checks which runs count as lagging, with the cases in
// testdata/progress.yaml.
func TestLagging(t *testing.T) {
	data, err := os.ReadFile("testdata/progress.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name     string        `yaml:"name"`
		Estimate time.Duration `yaml:"estimate"`
		Elapsed  time.Duration `yaml:"elapsed"`
		Progress float64       `yaml:"progress"`
		Lagging  bool          `yaml:"lagging"`
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		if got := lagging(c.Estimate, c.Elapsed, c.Progress); got != c.Lagging {
			t.Errorf("%s: %v", c.Name, got)
		}
	}
}

// TestStalledTasksRunElsewhere checks that jobs with tasks on a server that
// stalls them complete on other servers, long before their callers give up.
func TestStalledTasksRunElsewhere(t *testing.T) {
	const length = 12 * time.Second
	sim := newSimulation(7, simConfig{vms: 4, servers: 14, jobs: 40})
	sim.servers[3].stalls = true
	sim.submitJobs(length)
	sim.run(length + 5*time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
	for _, j := range sim.jobs {
		if j.outcome != "completed" {
			t.Errorf("job %s: %q", j.id, j.outcome)
		} else if took, bound := j.endedAt.Sub(j.firstSentAt), 3*j.objective()+simPatience/2; took > bound {
			t.Errorf("job %s of %v took %v", j.id, j.runTime, took)
		}
	}
}
