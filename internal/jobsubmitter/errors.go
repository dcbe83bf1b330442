package jobsubmitter

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// UnansweredError reports that a request ended without an answer, so the caller
// does not know whether the submission ran.
type UnansweredError struct {
	Submission identifier.SubmissionID
	Attempts   int
	// NeverSent is true if no attempt connected to an entry VM.
	NeverSent bool
	Last      error // of the last attempt
}

// Error names the submission, the attempts and the last failure.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("submission %s: no answer after %d attempts: %v", e.Submission, e.Attempts, e.Last)
}

// Unwrap returns the failure of the last attempt.
func (e *UnansweredError) Unwrap() error { return e.Last }

// UnknownSubmissionError reports that the entry VMs do not know a submission.
type UnknownSubmissionError struct {
	Submission identifier.SubmissionID
	Detail     string
}

// Error names the submission.
func (e *UnknownSubmissionError) Error() string {
	return fmt.Sprintf("submission %s: unknown: %s", e.Submission, e.Detail)
}

// MalformedAnswerError reports an answer that violates the callers' API.
type MalformedAnswerError struct {
	Address string
	Status  int
	Reason  string
}

// Error names the entry VM, the HTTP status and what is wrong.
func (e *MalformedAnswerError) Error() string {
	return fmt.Sprintf("answer of %s with status %d: %s", e.Address, e.Status, e.Reason)
}

// WrongSubmissionError reports an answer that belongs to another submission.
type WrongSubmissionError struct {
	Want, Got identifier.SubmissionID
}

// Error names both submissions.
func (e *WrongSubmissionError) Error() string {
	return fmt.Sprintf("asked for submission %s and got the answer of %s", e.Want, e.Got)
}

// NoneReadyError reports that no entry VM is ready.
type NoneReadyError struct{ Addresses int }

// Error names the number of entry VMs that were tried.
func (e *NoneReadyError) Error() string {
	return fmt.Sprintf("none of %d entry VMs is ready", e.Addresses)
}
