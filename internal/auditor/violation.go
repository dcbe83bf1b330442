package auditor

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Kind names the guarantee that a violation breaks.
type Kind string

// The kinds of violations.
const (
	DoubleStart        Kind = "doubleStart"        // a task started more than once
	UnrepeatableTwice  Kind = "unrepeatableTwice"  // a task of an unrepeatable job started more than once
	PartialAnswer      Kind = "partialAnswer"      // an answer has too few or too many outputs or outcomes
	WrongOutput        Kind = "wrongOutput"        // an output belongs to another task
	WrongCaller        Kind = "wrongCaller"        // an answer names another submission
	FalseNotRun        Kind = "falseNotRun"        // a refused submission has a start
	FalseNeverStarted  Kind = "falseNeverStarted"  // a task reported as never started has a start
	FalseRan           Kind = "falseRan"           // a task reported as run has no start
	ConflictingAnswers Kind = "conflictingAnswers" // one submission ended both complete and failed
	MalformedAnswer    Kind = "malformedAnswer"    // an answer breaks the callers' API
)

// Violation is one breach of a guarantee of the callers' API.
type Violation struct {
	Kind       Kind                    `json:"kind"`
	Submission identifier.SubmissionID `json:"submission"`
	Detail     string                  `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Kind, v.Submission, v.Detail) }
