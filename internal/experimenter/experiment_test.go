package experimenter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/loader"
)

const smallScenario = `
name: small
system: {entryVMsPerFailureDomain: 2, backendServers: 4, slotsPerServer: 4}
policies: [random, reserve]
workload:
  duration: 1s
  load: 0.4
  tasksMin: 2
  tasksMax: 4
  runTimes: {kind: uniform, min: 20ms, max: 60ms}
  resubmissions: {share: 0.2, copies: 1, delay: 50ms}
faults:
  - at: 200ms
    for: 300ms
    backends: {servers: [backend-1], straggle: 2}
`

func parseScenario(t *testing.T, text string) Scenario {
	t.Helper()
	s, err := Parse(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLocalExperiment(t *testing.T) {
	result, err := RunScenario(t.Context(), parseScenario(t, smallScenario), Local{Logger: log.NewNopLogger()})
	if err != nil {
		t.Fatal(err)
	}
	for _, run := range result.Runs {
		if run.Report.Failed() || !run.Report.Audited || run.Report.Jobs == 0 {
			t.Errorf("%s: report %+v", run.Policy, run.Report)
		}
		if len(run.Journal) != 2 {
			t.Errorf("%s: journal %+v", run.Policy, run.Journal)
		}
	}
	if result.Runs[0].Report.Tasks != result.Runs[1].Report.Tasks {
		t.Error("two policies were offered different workloads")
	}
	var svg bytes.Buffer
	if err := WritePlot(&svg, result); err != nil || !bytes.Contains(svg.Bytes(), []byte("<svg")) {
		t.Errorf("plot of %d bytes, error %v", svg.Len(), err)
	}
}

func TestDryExperimentRecordsTheFaults(t *testing.T) {
	result, err := RunScenario(t.Context(), parseScenario(t, smallScenario), DryRun{})
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	for _, entry := range result.Runs[0].Journal {
		faults = append(faults, entry.Fault)
	}
	goldie.New(t).Assert(t, "dryjournal", []byte(strings.Join(faults, "\n")+"\n"))
}

func TestAttachedRefusesFaultsOfEntryVMs(t *testing.T) {
	s := parseScenario(t, "name: a\nfaults: [{at: 1s, killEntryVMsOf: [domain-a]}]\n")
	if _, err := (Attached{}).Open(t.Context(), s, "random"); err == nil {
		t.Error("a kill of entry VMs was accepted")
	}
}

func TestParseNamesTheField(t *testing.T) {
	tests := []struct{ text, want string }{
		{"name: A\n", "name: must be"},
		{"name: a\nseed: 1\n", "line 2: field seed not found"},
		{"name: a\npolicies: [best]\n", `policies: "best"`},
		{"name: a\nworkload: {load: 0}\n", "workload: load"},
		{"name: a\nsystem: {backendServers: 0}\n", "system.backendServers"},
		{"name: a\nfaults: [{at: 1s}]\n", "faults[0]: must have exactly one"},
		{"name: a\nfaults: [{at: -1s, killEntryVMsOf: [b]}]\n", "faults[0]: at and for"},
		{"name: a\nfaults: [{for: 1s, killEntryVMsOf: [b]}]\n", "faults[0]: for"},
		{"name: a\nfaults: [{cutBetween: [b]}]\n", "faults[0]: cutBetween"},
	}
	for _, test := range tests {
		_, err := Parse(strings.NewReader(test.text))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: error %v", test.text, err)
		}
	}
}

func TestRecovery(t *testing.T) {
	s := Scenario{Faults: []FaultEntry{{At: 2 * time.Second, For: time.Second}}}
	second := func(p50 float64, good int) loader.Figures { return loader.Figures{P50: p50, Offered: 10, Good: good} }
	steady, slow, failing := second(1, 10), second(3, 10), second(1, 9)
	tests := []struct {
		name    string
		seconds []loader.Figures
		want    Recovery
	}{
		{"at once", []loader.Figures{steady, steady, slow, steady, steady, steady}, Recovery{true, true, 0}},
		{"later", []loader.Figures{steady, steady, slow, slow, steady, failing, steady, steady, steady}, Recovery{true, true, 3 * time.Second}},
		{"never", []loader.Figures{steady, steady, slow, slow, slow, steady, steady}, Recovery{true, false, 0}},
	}
	for _, test := range tests {
		got := s.recovery(loader.Report{Seconds: test.seconds})
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

func TestFloorOfAnIdleSystemIsTheIdeal(t *testing.T) {
	w := loader.DefaultWorkload()
	w.Load = 0.01
	f, err := floor(w, 4000)
	if err != nil || f.P99 != 1 {
		t.Errorf("floor %+v, error %v", f, err)
	}
}
