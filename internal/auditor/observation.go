package auditor

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Observation is what a caller saw of one request.
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
	// WrongCaller says that the answer named another submission.
	WrongCaller bool
	// Malformed says how an answer broke the callers' API; "" if it didn't.
	Malformed string
}
