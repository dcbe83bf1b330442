package peermessenger

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// RequestNumber matches a peer's reply to its request. It is unique among the
// requests of one process.
type RequestNumber uint64

// SubmitJob forwards a caller's submission to the home of its id.
type SubmitJob struct {
	Number RequestNumber `cbor:"1,keyasint"`
	Job    declarer.Job  `cbor:"2,keyasint"`
	Wait   bool          `cbor:"3,keyasint"` // false: reply once the job is admitted
	Hops   uint8         `cbor:"4,keyasint"` // times that the request was forwarded before
}

// AttachJob asks the home of an id for the job's ending.
type AttachJob struct {
	Number     RequestNumber           `cbor:"1,keyasint"`
	Submission identifier.SubmissionID `cbor:"2,keyasint"`
	Team       identifier.Team         `cbor:"3,keyasint"`
	Wait       time.Duration           `cbor:"4,keyasint"`
	Hops       uint8                   `cbor:"5,keyasint"` // times that the request was forwarded before
}

// CancelJob asks the home of an id to cancel the job.
type CancelJob struct {
	Number     RequestNumber           `cbor:"1,keyasint"`
	Submission identifier.SubmissionID `cbor:"2,keyasint"`
	Team       identifier.Team         `cbor:"3,keyasint"`
	Hops       uint8                   `cbor:"4,keyasint"` // times that the request was forwarded before
}

// JobReply answers SubmitJob, AttachJob and CancelJob. At most one of the
// endings is set; none is set while the job is running or when the job is not
// known.
type JobReply struct {
	Number       RequestNumber          `cbor:"1,keyasint"`
	Known        bool                   `cbor:"2,keyasint"`
	Ended        int                    `cbor:"3,keyasint"` // tasks that have ended so far
	Tasks        int                    `cbor:"4,keyasint"`
	Complete     *declarer.Complete     `cbor:"5,keyasint,omitempty"`
	Failed       *declarer.Failed       `cbor:"6,keyasint,omitempty"`
	Refused      *declarer.Refused      `cbor:"7,keyasint,omitempty"`
	Unverifiable *declarer.Unverifiable `cbor:"8,keyasint,omitempty"`
}

// NewJobReply returns the reply that carries a status.
func NewJobReply(number RequestNumber, status declarer.Status) JobReply {
	r := JobReply{Number: number, Known: status.Known, Ended: status.EndedTasks, Tasks: status.Tasks}
	switch e := status.Ending.(type) {
	case nil:
	case declarer.Complete:
		r.Complete = &e
	case declarer.Failed:
		r.Failed = &e
	case declarer.Refused:
		r.Refused = &e
	case declarer.Unverifiable:
		r.Unverifiable = &e
	}
	return r
}

// Status returns the status that the reply carries.
func (r JobReply) Status() declarer.Status {
	status := declarer.Status{Known: r.Known, EndedTasks: r.Ended, Tasks: r.Tasks}
	switch {
	case r.Complete != nil:
		status.Ending = *r.Complete
	case r.Failed != nil:
		status.Ending = *r.Failed
	case r.Refused != nil:
		status.Ending = *r.Refused
	case r.Unverifiable != nil:
		status.Ending = *r.Unverifiable
	}
	return status
}

func (SubmitJob) isPeerMessage() {}
func (AttachJob) isPeerMessage() {}
func (CancelJob) isPeerMessage() {}
func (JobReply) isPeerMessage()  {}
