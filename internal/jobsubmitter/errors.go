package jobsubmitter

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// UnansweredError says that a request ended without an answer: whether its
// submission ran is not known to the caller.
type UnansweredError struct {
	Submission identifier.SubmissionID
	Attempts   int
	// NeverSent says that no attempt reached an entry VM.
	NeverSent bool
	Last      error
}

// Error describes the request and its last failure.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("submission %s: no answer after %d attempts: %v", e.Submission, e.Attempts, e.Last)
}

// Unwrap returns the failure of the last attempt.
func (e *UnansweredError) Unwrap() error { return e.Last }

// UnknownSubmissionError says that nothing is known of a submission.
type UnknownSubmissionError struct {
	Submission identifier.SubmissionID
	Detail     string
}

// Error names the submission.
func (e *UnknownSubmissionError) Error() string {
	return fmt.Sprintf("submission %s: unknown: %s", e.Submission, e.Detail)
}

// MalformedAnswerError says that an answer breaks the callers' API.
type MalformedAnswerError struct {
	Address string
	Status  int
	Reason  string
}

// Error names the entry VM, the HTTP status and what is wrong.
func (e *MalformedAnswerError) Error() string {
	return fmt.Sprintf("answer of %s with status %d: %s", e.Address, e.Status, e.Reason)
}

// WrongSubmissionError says that an answer belongs to another submission.
type WrongSubmissionError struct {
	Want, Got identifier.SubmissionID
}

// Error names both submissions.
func (e *WrongSubmissionError) Error() string {
	return fmt.Sprintf("asked for submission %s and got the answer of %s", e.Want, e.Got)
}

// NoneReadyError says that no entry VM is ready.
type NoneReadyError struct{ Addresses int }

// Error counts the entry VMs that were tried.
func (e *NoneReadyError) Error() string {
	return fmt.Sprintf("none of %d entry VMs is ready", e.Addresses)
}
