// Package declarer defines what callers declare, jobs and their tasks, and what
// they get back, answers, with the checks that bound both.
package declarer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Job is one submission: tasks that run in parallel and are answered together.
type Job struct {
	Submission   identifier.SubmissionID `cbor:"1,keyasint"`
	Attempt      identifier.Attempt      `cbor:"2,keyasint"`
	Team         identifier.Team         `cbor:"3,keyasint"`
	Profile      identifier.ProfileName  `cbor:"4,keyasint"`
	CreatedAt    time.Time               `cbor:"5,keyasint"` // when the caller made the submission id
	Deadline     time.Duration           `cbor:"6,keyasint"` // from the arrival of the request; 0 takes the profile's
	Unrepeatable bool                    `cbor:"7,keyasint"`
	Tasks        []Task                  `cbor:"8,keyasint"`
}

// Task is one unit of work, which takes one slot of a backend server.
type Task struct {
	Payload  []byte                `cbor:"1,keyasint"` // opaque to peppertrack
	RunTime  time.Duration         `cbor:"2,keyasint"` // declared; a hint
	Cores    identifier.Millicores `cbor:"3,keyasint"` // declared; a hint, but for a size that no backend server has
	Memory   identifier.Mebibytes  `cbor:"4,keyasint"` // declared; a hint, but for a size that no backend server has
	Requires Accelerators          `cbor:"5,keyasint"`
}

// Accelerators counts accelerator devices.
type Accelerators int
