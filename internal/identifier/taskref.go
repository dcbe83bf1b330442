package identifier

import "fmt"

// TaskRef names one task of one submission.
type TaskRef struct {
	Submission SubmissionID `cbor:"1,keyasint"`
	Index      TaskIndex    `cbor:"2,keyasint"`
}

// String returns the reference as submission/index.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s/%d", t.Submission, t.Index)
}
