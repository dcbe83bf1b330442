package auditor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Audit returns all violations, ordered by submission ID. Starts of submissions
// that no observation names are checked for double starts only.
func Audit(starts []Start, observations []Observation) []Violation {
	audits := groupBySubmission(starts, observations)
	var violations []Violation
	for _, id := range slices.Sorted(maps.Keys(audits)) {
		violations = append(violations, audits[id].check()...)
	}
	return violations
}

// CountForeignStarts returns the number of starts of submissions that no
// observation names. They come from other callers, or from another system that
// reaches these servers.
func CountForeignStarts(starts []Start, observations []Observation) (count int) {
	known := make(map[identifier.SubmissionID]struct{}, len(observations))
	for _, observation := range observations {
		known[observation.Submission] = struct{}{}
	}
	for _, start := range starts {
		if _, ok := known[start.Task.Submission]; !ok {
			count++
		}
	}
	return count
}

// submissionAudit holds the starts and the observations of one submission.
type submissionAudit struct {
	id           identifier.SubmissionID
	starts       map[identifier.TaskIndex][]Start
	observations []Observation
}

func groupBySubmission(starts []Start, observations []Observation) map[identifier.SubmissionID]*submissionAudit {
	audits := make(map[identifier.SubmissionID]*submissionAudit)
	auditOf := func(id identifier.SubmissionID) *submissionAudit {
		if audits[id] == nil {
			audits[id] = &submissionAudit{id: id, starts: make(map[identifier.TaskIndex][]Start)}
		}
		return audits[id]
	}
	for _, start := range starts {
		a := auditOf(start.Task.Submission)
		a.starts[start.Task.Index] = append(a.starts[start.Task.Index], start)
	}
	for _, observation := range observations {
		a := auditOf(observation.Submission)
		a.observations = append(a.observations, observation)
	}
	return audits
}

func (a *submissionAudit) check() []Violation {
	violations := a.checkStarts()
	for _, observation := range a.observations {
		violations = append(violations, a.checkAnswer(observation)...)
		violations = append(violations, a.checkEnding(observation)...)
	}
	return append(violations, a.checkConflict()...)
}

func (a *submissionAudit) violation(kind ViolationKind, format string, args ...any) Violation {
	return Violation{Kind: kind, Submission: a.id, Detail: fmt.Sprintf(format, args...)}
}

func (a *submissionAudit) checkStarts() []Violation {
	kind := DoubleStart
	if slices.ContainsFunc(a.observations, func(o Observation) bool { return o.Unrepeatable }) {
		kind = UnrepeatableTwice
	}
	var violations []Violation
	for _, index := range slices.Sorted(maps.Keys(a.starts)) {
		starts := a.starts[index]
		if len(starts) > 1 {
			violation := a.violation(kind, "task %d started %d times, on %v", index, len(starts), backendIDs(starts))
			violations = append(violations, violation)
		}
	}
	return violations
}

func backendIDs(starts []Start) []identifier.BackendID {
	backends := make([]identifier.BackendID, len(starts))
	for i, start := range starts {
		backends[i] = start.Backend
	}
	return backends
}

// checkAnswer checks an answer without the starts: its submission, its form and
// its outputs.
func (a *submissionAudit) checkAnswer(o Observation) []Violation {
	var violations []Violation
	if o.WrongCaller {
		violations = append(violations, a.violation(WrongCaller, "the answer names another submission"))
	}
	if o.Malformed != "" {
		violations = append(violations, a.violation(MalformedAnswer, "%s", o.Malformed))
	}
	if len(o.WrongOutputs) > 0 {
		violations = append(violations, a.violation(WrongOutput, "outputs of tasks %v", o.WrongOutputs))
	}
	return violations
}

// checkEnding checks the ending of an answer against the starts.
func (a *submissionAudit) checkEnding(o Observation) []Violation {
	switch ending := o.Ending.(type) {
	case declarer.Complete:
		return a.checkComplete(o, len(ending.Outputs))
	case declarer.Failed:
		return a.checkFailed(o, ending)
	case declarer.Refused:
		return a.checkRefused(o)
	default:
		return nil
	}
}

func (a *submissionAudit) checkComplete(o Observation, outputs int) []Violation {
	if outputs != o.Tasks {
		return []Violation{a.violation(PartialAnswer, "%d outputs of %d tasks", outputs, o.Tasks)}
	}
	for index := range o.Tasks {
		if len(a.starts[identifier.TaskIndex(index)]) == 0 {
			return []Violation{a.violation(FalseRan, "complete, and no start of task %d was seen", index)}
		}
	}
	return nil
}

func (a *submissionAudit) checkFailed(o Observation, ending declarer.Failed) []Violation {
	if len(ending.Outcomes) != o.Tasks {
		return []Violation{a.violation(PartialAnswer, "%d outcomes of %d tasks", len(ending.Outcomes), o.Tasks)}
	}
	var violations []Violation
	for i, outcome := range ending.Outcomes {
		started := len(a.starts[identifier.TaskIndex(i)]) > 0
		switch {
		case outcome == declarer.NeverStarted && started:
			violations = append(violations, a.violation(FalseNeverStarted, "task %d", i))
		case outcome == declarer.Ran && !started:
			violations = append(violations, a.violation(FalseRan, "task %d", i))
		}
	}
	return violations
}

// checkRefused checks that no task of a refused submission was started. Another
// request with the same ID may start tasks after the refusal; then each start
// must be later than the sending of the refused request.
func (a *submissionAudit) checkRefused(o Observation) []Violation {
	othersMayHaveRun := slices.ContainsFunc(a.observations, mayHaveRun)
	for _, index := range slices.Sorted(maps.Keys(a.starts)) {
		at := a.starts[index][0].At
		if !othersMayHaveRun || at.Before(o.Sent) {
			violation := a.violation(FalseNotRun, "task %d started at %s", index, at.Format(time.RFC3339Nano))
			return []Violation{violation}
		}
	}
	return nil
}

// mayHaveRun reports whether a request may have caused starts.
func mayHaveRun(o Observation) bool {
	_, refused := o.Ending.(declarer.Refused)
	_, unverifiable := o.Ending.(declarer.Unverifiable)
	return !refused && !unverifiable
}

func (a *submissionAudit) checkConflict() []Violation {
	complete, failed := false, false
	for _, o := range a.observations {
		switch o.Ending.(type) {
		case declarer.Complete:
			complete = true
		case declarer.Failed:
			failed = true
		}
	}
	if complete && failed {
		return []Violation{a.violation(ConflictingAnswers, "complete and failed")}
	}
	return nil
}
