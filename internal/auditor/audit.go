package auditor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Audit returns every violation, in the order of the submissions. Starts of
// submissions that no observation names are checked for double starts only.
func Audit(starts []Start, observations []Observation) []Violation {
	cases := collect(starts, observations)
	var violations []Violation
	for _, id := range slices.Sorted(maps.Keys(cases)) {
		violations = append(violations, cases[id].check()...)
	}
	return violations
}

// CountForeign counts the starts of submissions that no observation names. They
// come from other callers, or from another system that reaches these servers.
func CountForeign(starts []Start, observations []Observation) (count int) {
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

// submissionCase holds all that was seen of one submission.
type submissionCase struct {
	id           identifier.SubmissionID
	starts       map[identifier.TaskIndex][]Start
	observations []Observation
}

func collect(starts []Start, observations []Observation) map[identifier.SubmissionID]*submissionCase {
	cases := make(map[identifier.SubmissionID]*submissionCase)
	of := func(id identifier.SubmissionID) *submissionCase {
		if cases[id] == nil {
			cases[id] = &submissionCase{id: id, starts: make(map[identifier.TaskIndex][]Start)}
		}
		return cases[id]
	}
	for _, start := range starts {
		c := of(start.Task.Submission)
		c.starts[start.Task.Index] = append(c.starts[start.Task.Index], start)
	}
	for _, observation := range observations {
		c := of(observation.Submission)
		c.observations = append(c.observations, observation)
	}
	return cases
}

func (c *submissionCase) check() []Violation {
	violations := c.checkStarts()
	for _, observation := range c.observations {
		violations = append(violations, c.checkShape(observation)...)
		violations = append(violations, c.checkEnding(observation)...)
	}
	return append(violations, c.checkAgreement()...)
}

func (c *submissionCase) violation(kind Kind, format string, args ...any) Violation {
	return Violation{Kind: kind, Submission: c.id, Detail: fmt.Sprintf(format, args...)}
}

func (c *submissionCase) checkStarts() []Violation {
	kind := DoubleStart
	if slices.ContainsFunc(c.observations, func(o Observation) bool { return o.Unrepeatable }) {
		kind = UnrepeatableTwice
	}
	var violations []Violation
	for _, index := range slices.Sorted(maps.Keys(c.starts)) {
		starts := c.starts[index]
		if len(starts) > 1 {
			detail := c.violation(kind, "task %d started %d times, on %v", index, len(starts), backendsOf(starts))
			violations = append(violations, detail)
		}
	}
	return violations
}

func backendsOf(starts []Start) []identifier.BackendID {
	backends := make([]identifier.BackendID, len(starts))
	for i, start := range starts {
		backends[i] = start.Backend
	}
	return backends
}

// checkShape checks an answer by itself.
func (c *submissionCase) checkShape(o Observation) []Violation {
	var violations []Violation
	if o.WrongCaller {
		violations = append(violations, c.violation(WrongCaller, "the answer names another submission"))
	}
	if o.Malformed != "" {
		violations = append(violations, c.violation(MalformedAnswer, "%s", o.Malformed))
	}
	if len(o.WrongOutputs) > 0 {
		violations = append(violations, c.violation(WrongOutput, "outputs of tasks %v", o.WrongOutputs))
	}
	return violations
}

// checkEnding checks an answer against the starts.
func (c *submissionCase) checkEnding(o Observation) []Violation {
	switch ending := o.Ending.(type) {
	case declarer.Complete:
		return c.checkComplete(o, len(ending.Outputs))
	case declarer.Failed:
		return c.checkFailed(o, ending)
	case declarer.Refused:
		return c.checkRefused(o)
	default:
		return nil
	}
}

func (c *submissionCase) checkComplete(o Observation, outputs int) []Violation {
	if outputs != o.Tasks {
		return []Violation{c.violation(PartialAnswer, "%d outputs of %d tasks", outputs, o.Tasks)}
	}
	for index := range o.Tasks {
		if len(c.starts[identifier.TaskIndex(index)]) == 0 {
			return []Violation{c.violation(FalseRan, "complete, and no start of task %d was seen", index)}
		}
	}
	return nil
}

func (c *submissionCase) checkFailed(o Observation, ending declarer.Failed) []Violation {
	if len(ending.Outcomes) != o.Tasks {
		return []Violation{c.violation(PartialAnswer, "%d outcomes of %d tasks", len(ending.Outcomes), o.Tasks)}
	}
	var violations []Violation
	for i, outcome := range ending.Outcomes {
		started := len(c.starts[identifier.TaskIndex(i)]) > 0
		switch {
		case outcome == declarer.NeverStarted && started:
			violations = append(violations, c.violation(FalseNeverStarted, "task %d", i))
		case outcome == declarer.Ran && !started:
			violations = append(violations, c.violation(FalseRan, "task %d", i))
		}
	}
	return violations
}

// checkRefused checks that nothing of a refused submission had started. Another
// request with the same id may start it after the refusal; the starts then
// follow this request's sending.
func (c *submissionCase) checkRefused(o Observation) []Violation {
	others := slices.ContainsFunc(c.observations, mayHaveRun)
	for _, index := range slices.Sorted(maps.Keys(c.starts)) {
		at := c.starts[index][0].At
		if !others || at.Before(o.Sent) {
			detail := c.violation(FalseNotRun, "task %d started at %s", index, at.Format(time.RFC3339Nano))
			return []Violation{detail}
		}
	}
	return nil
}

// mayHaveRun says whether a request may account for starts.
func mayHaveRun(o Observation) bool {
	_, refused := o.Ending.(declarer.Refused)
	_, unverifiable := o.Ending.(declarer.Unverifiable)
	return !refused && !unverifiable
}

func (c *submissionCase) checkAgreement() []Violation {
	complete, failed := false, false
	for _, o := range c.observations {
		switch o.Ending.(type) {
		case declarer.Complete:
			complete = true
		case declarer.Failed:
			failed = true
		}
	}
	if complete && failed {
		return []Violation{c.violation(ConflictingAnswers, "complete and failed")}
	}
	return nil
}
