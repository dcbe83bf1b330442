package jobsubmitter

import (
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Answer is what an entry VM says of a submission.
type Answer struct {
	Submission identifier.SubmissionID
	// Ending is nil while the job is running.
	Ending declarer.Ending
	// Ended counts the tasks that ended so far, of Tasks; set while the job runs.
	Ended int
	Tasks int
	// Domain is the failure domain of the entry VM that answered.
	Domain identifier.FailureDomain
	// Address is the entry VM that answered.
	Address string
	// Attempts counts the requests that were sent for this answer.
	Attempts int
}
