// Package declarer defines the jobs and tasks that callers submit, and the endings
// and states with which their requests are answered.
package declarer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Job is a submission: tasks that run in parallel and are answered together.
type Job struct {
	Submission   identifier.SubmissionID `cbor:"1,keyasint"`
	Attempt      identifier.Attempt      `cbor:"2,keyasint"`
	Team         identifier.Team         `cbor:"3,keyasint"`
	Profile      identifier.ProfileName  `cbor:"4,keyasint"`
	CreatedAt    time.Time               `cbor:"5,keyasint"` // when the caller created the submission id
	Deadline     time.Duration           `cbor:"6,keyasint"` // from the arrival of the request; 0 means the profile's
	Unrepeatable bool                    `cbor:"7,keyasint"` // must run at most once
	Tasks        []Task                  `cbor:"8,keyasint"`
}

// Task is a unit of work, which takes one slot of a backend server.
type Task struct {
	Payload      []byte                `cbor:"1,keyasint"` // opaque to peppertrack
	RunTime      time.Duration         `cbor:"2,keyasint"` // declared by the caller; a hint
	Cores        identifier.Millicores `cbor:"3,keyasint"` // declared by the caller; a hint, unless no backend server is that large
	Memory       identifier.Mebibytes  `cbor:"4,keyasint"` // declared by the caller; a hint, unless no backend server is that large
	Accelerators Accelerators          `cbor:"5,keyasint"`
}

// Accelerators counts accelerator devices.
type Accelerators int
