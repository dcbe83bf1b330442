package jobsubmitter

import (
	"encoding/json"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Submission is a job as a caller declares it.
type Submission struct {
	// ID repeats an earlier submission; empty mints a fresh id.
	ID identifier.SubmissionID
	// FirstAttempt is the number of the first attempt sent; 0 is 1.
	FirstAttempt identifier.Attempt
	// Address is the entry VM to ask first; empty leaves the choice to the
	// Submitter.
	Address string
	// CreatedAt is when the id was made. Only ids without a UUIDv7 need it.
	CreatedAt time.Time
	// Profile names the profile that states how to treat the job.
	Profile identifier.ProfileName
	// Deadline is counted from the arrival of the request; 0 takes the profile's.
	Deadline time.Duration
	// Unrepeatable marks a job that must run at most once.
	Unrepeatable bool
	// Tasks run in parallel.
	Tasks []Task
}

// Task is one task of a submission.
type Task struct {
	Payload      json.RawMessage       // any JSON value
	RunTime      time.Duration         // declared
	Cores        identifier.Millicores // declared
	Memory       identifier.Mebibytes  // declared
	Accelerators int
}
