package auditor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

var (
	sent    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	started = sent.Add(time.Millisecond)
)

func startOf(indexes ...identifier.TaskIndex) []Start {
	var starts []Start
	for _, index := range indexes {
		starts = append(starts, Start{Task: identifier.TaskRef{Submission: "s", Index: index}, Backend: "b", At: started})
	}
	return starts
}

func seen(ending declarer.Ending) Observation {
	return Observation{Submission: "s", Tasks: 2, Sent: sent, Received: sent.Add(time.Second), Ending: ending}
}

func TestAudit(t *testing.T) {
	complete := declarer.Complete{Outputs: make([][]byte, 2)}
	failed := func(outcomes ...declarer.TaskOutcome) declarer.Failed { return declarer.Failed{Outcomes: outcomes} }
	late := seen(declarer.Refused{})
	late.Sent = started.Add(time.Millisecond)
	unrepeatable := seen(complete)
	unrepeatable.Unrepeatable = true
	foreign := seen(complete)
	foreign.WrongOutputs = []identifier.TaskIndex{1}
	misdirected := seen(nil)
	misdirected.WrongCaller = true
	malformed := seen(nil)
	malformed.Malformed = "no ending"

	tests := []struct {
		name         string
		starts       []Start
		observations []Observation
		want         []Kind
	}{
		{"complete", startOf(0, 1), []Observation{seen(complete), seen(complete)}, nil},
		{"started twice", startOf(0, 1, 1), []Observation{seen(complete)}, []Kind{DoubleStart}},
		{"started twice, no answer", startOf(0, 1, 1), nil, []Kind{DoubleStart}},
		{"unrepeatable twice", startOf(0, 1, 1), []Observation{unrepeatable}, []Kind{UnrepeatableTwice}},
		{"too few outputs", startOf(0, 1), []Observation{seen(declarer.Complete{Outputs: make([][]byte, 1)})}, []Kind{PartialAnswer}},
		{"complete, not started", startOf(0), []Observation{seen(complete)}, []Kind{FalseRan}},
		{"outputs of another", startOf(0, 1), []Observation{foreign}, []Kind{WrongOutput}},
		{"answer of another", nil, []Observation{misdirected}, []Kind{WrongCaller}},
		{"malformed", nil, []Observation{malformed}, []Kind{MalformedAnswer}},
		{"refused", nil, []Observation{seen(declarer.Refused{})}, nil},
		{"refused, yet started", startOf(0), []Observation{seen(declarer.Refused{})}, []Kind{FalseNotRun}},
		{"unverifiable and refused, yet started", startOf(0), []Observation{seen(declarer.Unverifiable{}), seen(declarer.Refused{})}, []Kind{FalseNotRun}},
		{"refused, run by a later attempt", startOf(0, 1), []Observation{seen(declarer.Refused{}), seen(complete)}, nil},
		{"refused after a start", startOf(0, 1), []Observation{late, seen(complete)}, []Kind{FalseNotRun}},
		{"failed truthfully", startOf(0), []Observation{seen(failed(declarer.Ran, declarer.NeverStarted))}, nil},
		{"failed, unknown", startOf(0), []Observation{seen(failed(declarer.Unknown, declarer.Unknown))}, nil},
		{"failed, false never started", startOf(0, 1), []Observation{seen(failed(declarer.Ran, declarer.NeverStarted))}, []Kind{FalseNeverStarted}},
		{"failed, false ran", startOf(0), []Observation{seen(failed(declarer.Ran, declarer.Ran))}, []Kind{FalseRan}},
		{"failed, outcomes missing", startOf(0), []Observation{seen(failed(declarer.Ran))}, []Kind{PartialAnswer}},
		{"complete and failed", startOf(0, 1), []Observation{seen(complete), seen(failed(declarer.Ran, declarer.Ran))}, []Kind{ConflictingAnswers}},
		{"no answer", startOf(0), []Observation{seen(nil)}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []Kind
			for _, violation := range Audit(test.starts, test.observations) {
				got = append(got, violation.Kind)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCountForeign(t *testing.T) {
	other := Start{Task: identifier.TaskRef{Submission: "other"}}
	if n := CountForeign(append(startOf(0, 1), other), []Observation{seen(nil)}); n != 1 {
		t.Errorf("%d foreign starts, want 1", n)
	}
}
