package auditor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

var (
	sentAt    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	startedAt = sentAt.Add(time.Millisecond)
)

func startsOf(indexes ...identifier.TaskIndex) []Start {
	var starts []Start
	for _, index := range indexes {
		starts = append(starts, Start{Task: identifier.TaskRef{Submission: "s", Index: index}, Backend: "b", At: startedAt})
	}
	return starts
}

func observationOf(ending declarer.Ending) Observation {
	return Observation{Submission: "s", Tasks: 2, Sent: sentAt, Received: sentAt.Add(time.Second), Ending: ending}
}

func TestAudit(t *testing.T) {
	complete := declarer.Complete{Outputs: make([][]byte, 2)}
	failed := func(outcomes ...declarer.TaskOutcome) declarer.Failed { return declarer.Failed{Outcomes: outcomes} }
	sentAfterStart := observationOf(declarer.Refused{})
	sentAfterStart.Sent = startedAt.Add(time.Millisecond)
	unrepeatable := observationOf(complete)
	unrepeatable.Unrepeatable = true
	wrongOutput := observationOf(complete)
	wrongOutput.WrongOutputs = []identifier.TaskIndex{1}
	wrongCaller := observationOf(nil)
	wrongCaller.WrongCaller = true
	malformed := observationOf(nil)
	malformed.Malformed = "no ending"

	tests := []struct {
		name         string
		starts       []Start
		observations []Observation
		want         []ViolationKind
	}{
		{"complete", startsOf(0, 1), []Observation{observationOf(complete), observationOf(complete)}, nil},
		{"started twice", startsOf(0, 1, 1), []Observation{observationOf(complete)}, []ViolationKind{DoubleStart}},
		{"started twice, no answer", startsOf(0, 1, 1), nil, []ViolationKind{DoubleStart}},
		{"unrepeatable twice", startsOf(0, 1, 1), []Observation{unrepeatable}, []ViolationKind{UnrepeatableTwice}},
		{"too few outputs", startsOf(0, 1), []Observation{observationOf(declarer.Complete{Outputs: make([][]byte, 1)})}, []ViolationKind{PartialAnswer}},
		{"complete, not started", startsOf(0), []Observation{observationOf(complete)}, []ViolationKind{FalseRan}},
		{"output of another task", startsOf(0, 1), []Observation{wrongOutput}, []ViolationKind{WrongOutput}},
		{"answer of another submission", nil, []Observation{wrongCaller}, []ViolationKind{WrongCaller}},
		{"malformed", nil, []Observation{malformed}, []ViolationKind{MalformedAnswer}},
		{"refused", nil, []Observation{observationOf(declarer.Refused{})}, nil},
		{"refused, but started", startsOf(0), []Observation{observationOf(declarer.Refused{})}, []ViolationKind{FalseNotRun}},
		{"unverifiable and refused, but started", startsOf(0), []Observation{observationOf(declarer.Unverifiable{}), observationOf(declarer.Refused{})}, []ViolationKind{FalseNotRun}},
		{"refused, started by a later request", startsOf(0, 1), []Observation{observationOf(declarer.Refused{}), observationOf(complete)}, nil},
		{"refused when sent after a start", startsOf(0, 1), []Observation{sentAfterStart, observationOf(complete)}, []ViolationKind{FalseNotRun}},
		{"failed, correct outcomes", startsOf(0), []Observation{observationOf(failed(declarer.Ran, declarer.NeverStarted))}, nil},
		{"failed, unknown outcomes", startsOf(0), []Observation{observationOf(failed(declarer.OutcomeUnknown, declarer.OutcomeUnknown))}, nil},
		{"failed, false never started", startsOf(0, 1), []Observation{observationOf(failed(declarer.Ran, declarer.NeverStarted))}, []ViolationKind{FalseNeverStarted}},
		{"failed, false ran", startsOf(0), []Observation{observationOf(failed(declarer.Ran, declarer.Ran))}, []ViolationKind{FalseRan}},
		{"failed, too few outcomes", startsOf(0), []Observation{observationOf(failed(declarer.Ran))}, []ViolationKind{PartialAnswer}},
		{"complete and failed", startsOf(0, 1), []Observation{observationOf(complete), observationOf(failed(declarer.Ran, declarer.Ran))}, []ViolationKind{ConflictingAnswers}},
		{"no answer", startsOf(0), []Observation{observationOf(nil)}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []ViolationKind
			for _, violation := range Audit(test.starts, test.observations) {
				got = append(got, violation.Kind)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCountForeignStarts(t *testing.T) {
	other := Start{Task: identifier.TaskRef{Submission: "other"}}
	if n := CountForeignStarts(append(startsOf(0, 1), other), []Observation{observationOf(nil)}); n != 1 {
		t.Errorf("%d foreign starts, want 1", n)
	}
}
