package auditor

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Kind is the promise that a violation breaks.
type Kind string

// The kinds of violations.
const (
	DoubleStart        Kind = "doubleStart"        // a task started more than once
	UnrepeatableTwice  Kind = "unrepeatableTwice"  // as DoubleStart, of an unrepeatable job
	PartialAnswer      Kind = "partialAnswer"      // complete, with outputs missing or too many
	WrongOutput        Kind = "wrongOutput"        // an output belongs to another task
	WrongCaller        Kind = "wrongCaller"        // an answer of another submission
	FalseNotRun        Kind = "falseNotRun"        // refused, yet starts were seen
	FalseNeverStarted  Kind = "falseNeverStarted"  // a task said to be never started has a start
	FalseRan           Kind = "falseRan"           // a task said to have run has no start
	ConflictingAnswers Kind = "conflictingAnswers" // one submission ended both complete and failed
	MalformedAnswer    Kind = "malformedAnswer"    // an answer breaks the callers' API
)

// Violation is one broken promise.
type Violation struct {
	Kind       Kind                    `json:"kind"`
	Submission identifier.SubmissionID `json:"submission"`
	Detail     string                  `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Kind, v.Submission, v.Detail) }
