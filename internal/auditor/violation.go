package auditor

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// ViolationKind names the guarantee that a violation breaks.
type ViolationKind string

// The kinds of violations.
const (
	DoubleStart        ViolationKind = "doubleStart"        // a task started more than once
	UnrepeatableTwice  ViolationKind = "unrepeatableTwice"  // a task of an unrepeatable job started more than once
	PartialAnswer      ViolationKind = "partialAnswer"      // an answer has too few or too many outputs or outcomes
	WrongOutput        ViolationKind = "wrongOutput"        // an output belongs to another task
	WrongCaller        ViolationKind = "wrongCaller"        // an answer names another submission
	FalseNotRun        ViolationKind = "falseNotRun"        // a refused submission has a start
	FalseNeverStarted  ViolationKind = "falseNeverStarted"  // a task reported as never started has a start
	FalseRan           ViolationKind = "falseRan"           // a task reported as run has no start
	ConflictingAnswers ViolationKind = "conflictingAnswers" // one submission ended both complete and failed
	MalformedAnswer    ViolationKind = "malformedAnswer"    // an answer breaks the callers' API
)

// Violation is one breach of a guarantee of the callers' API.
type Violation struct {
	Kind       ViolationKind           `json:"kind"`
	Submission identifier.SubmissionID `json:"submission"`
	Detail     string                  `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Kind, v.Submission, v.Detail) }
