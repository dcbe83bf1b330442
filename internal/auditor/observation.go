package auditor

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Observation is one request and its answer, as its caller saw them.
type Observation struct {
	Submission   identifier.SubmissionID
	Tasks        int
	Unrepeatable bool
	Sent         time.Time
	Received     time.Time
	// Ending is nil when the caller got no answer.
	Ending declarer.Ending
	// WrongOutputs lists the tasks whose output belongs to another task.
	WrongOutputs []identifier.TaskIndex
	// WrongCaller is true if the answer names another submission.
	WrongCaller bool
	// Malformed describes how the answer breaks the callers' API; "" if it doesn't.
	Malformed string
}
