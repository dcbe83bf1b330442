package jobsubmitter

import (
	"encoding/json"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Submission is a request to run a job, as its caller declares it.
type Submission struct {
	// ID identifies the job. The ID of an earlier submission repeats that
	// submission; an empty ID makes the Submitter generate a new one.
	ID identifier.SubmissionID
	// FirstAttempt is the number of the first attempt; 0 means 1.
	FirstAttempt identifier.Attempt
	// Address is the entry VM to ask first; empty leaves the choice to the
	// Submitter.
	Address string
	// CreatedAt is when the id was generated. Only ids without a UUIDv7 need it.
	CreatedAt time.Time
	// Profile names the profile that states how to treat the job.
	Profile identifier.ProfileName
	// Deadline counts from the arrival of the request; 0 means the profile's.
	Deadline time.Duration
	// Unrepeatable marks a job that must run at most once.
	Unrepeatable bool
	// Tasks run in parallel.
	Tasks []Task
}

// Task is one task of a submission.
type Task struct {
	Payload      json.RawMessage       // any JSON value
	RunTime      time.Duration         // declared by the caller
	Cores        identifier.Millicores // declared by the caller
	Memory       identifier.Mebibytes  // declared by the caller
	Accelerators int
}
