package jobsubmitter

import (
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Answer is an entry VM's answer to a request about a submission.
type Answer struct {
	Submission identifier.SubmissionID
	// Ending is nil while the job is running.
	Ending declarer.Ending
	// Ended is the number of the job's tasks that have ended so far. Ended and Tasks
	// are set only while the job is running.
	Ended int
	Tasks int // of the job
	// Domain is the failure domain of the entry VM that answered.
	Domain identifier.FailureDomain
	// Address is the entry VM that answered.
	Address string
	// Attempts counts the requests that were sent for this answer.
	Attempts int
}
