package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// TaskFailure says that a task of a job failed on a backend server.
type TaskFailure struct {
	Backend    identifier.BackendID    `cbor:"1,keyasint"`
	Submission identifier.SubmissionID `cbor:"2,keyasint"`
}

// TasksFailed reports failed tasks that the sender has seen itself.
type TasksFailed struct {
	Failures []TaskFailure `cbor:"1,keyasint"`
}

func (TasksFailed) isPeerMessage() {}
