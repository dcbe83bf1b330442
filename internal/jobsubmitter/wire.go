package jobsubmitter

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

const failureDomainHeader = "Peppertrack-Failure-Domain"

type submitRequest struct {
	SubmissionID  identifier.SubmissionID `json:"submissionId"`
	Attempt       identifier.Attempt      `json:"attempt"`
	CreatedAt     *time.Time              `json:"createdAt,omitempty"`
	Profile       identifier.ProfileName  `json:"profile"`
	DeadlineMilli int64                   `json:"deadlineMillis,omitempty"`
	Unrepeatable  bool                    `json:"unrepeatable,omitempty"`
	Wait          bool                    `json:"wait"`
	Tasks         []taskRequest           `json:"tasks"`
}

type taskRequest struct {
	Payload      json.RawMessage       `json:"payload,omitempty"`
	RunTimeMilli int64                 `json:"runTimeMillis,omitempty"`
	Cores        identifier.Millicores `json:"millicores,omitempty"`
	Memory       identifier.Mebibytes  `json:"memoryMebibytes,omitempty"`
	Accelerators int                   `json:"accelerators,omitempty"`
}

type answerBody struct {
	SubmissionID     identifier.SubmissionID `json:"submissionId"`
	Ending           string                  `json:"ending"`
	Ended            int                     `json:"ended"`
	Tasks            int                     `json:"tasks"`
	Outputs          []json.RawMessage       `json:"outputs"`
	Cause            string                  `json:"cause"`
	Field            string                  `json:"field"`
	Detail           string                  `json:"detail"`
	Outcomes         []declarer.TaskOutcome  `json:"outcomes"`
	RetryAfterMillis int64                   `json:"retryAfterMillis"`
}

// The values of the ending field.
const (
	endingComplete     = "complete"
	endingRunning      = "running"
	endingFailed       = "failed"
	endingRefused      = "refused"
	endingUnverifiable = "unverifiable"
	endingUnknown      = "unknown"
)

func newSubmitRequest(s Submission, wait bool) submitRequest {
	request := submitRequest{
		SubmissionID:  s.ID,
		Profile:       s.Profile,
		DeadlineMilli: s.Deadline.Milliseconds(),
		Unrepeatable:  s.Unrepeatable,
		Wait:          wait,
		Tasks:         make([]taskRequest, len(s.Tasks)),
	}
	if !s.CreatedAt.IsZero() {
		request.CreatedAt = &s.CreatedAt
	}
	for i, task := range s.Tasks {
		request.Tasks[i] = taskRequest{
			Payload:      task.Payload,
			RunTimeMilli: task.RunTime.Milliseconds(),
			Cores:        task.Cores,
			Memory:       task.Memory,
			Accelerators: task.Accelerators,
		}
	}
	return request
}

// ending returns the ending that the body declares, or nil while the job is
// running. ok is false if the ending is unknown or doesn't match the status.
func (b answerBody) ending(status int) (ending declarer.Ending, ok bool) {
	retryAfter := time.Duration(b.RetryAfterMillis) * time.Millisecond
	switch b.Ending {
	case endingComplete:
		return declarer.Complete{Outputs: rawOutputs(b.Outputs)}, status == http.StatusOK
	case endingRunning:
		return nil, status == http.StatusAccepted
	case endingFailed:
		failed := declarer.Failed{Cause: declarer.FailureCause(b.Cause), Detail: b.Detail, Outcomes: b.Outcomes}
		return failed, status == http.StatusUnprocessableEntity
	case endingRefused:
		refused := declarer.Refused{Cause: declarer.RefusalCause(b.Cause), Detail: b.detail(), RetryAfter: retryAfter}
		return refused, isRefusalStatus(status)
	case endingUnverifiable:
		unverifiable := declarer.Unverifiable{
			Cause:      declarer.UnverifiableCause(b.Cause),
			Detail:     b.Detail,
			RetryAfter: retryAfter,
		}
		return unverifiable, status == http.StatusConflict
	default:
		return nil, false
	}
}

// applyRetryAfterHeader takes the pause from the Retry-After header, in seconds,
// if the body has none.
func (b *answerBody) applyRetryAfterHeader(header http.Header) {
	if b.RetryAfterMillis != 0 {
		return
	}
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return
	}
	b.RetryAfterMillis = int64(seconds) * 1000
}

func (b answerBody) detail() string {
	if b.Field == "" {
		return b.Detail
	}
	return b.Field + ": " + b.Detail
}

func isRefusalStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

func rawOutputs(outputs []json.RawMessage) [][]byte {
	raw := make([][]byte, len(outputs))
	for i, output := range outputs {
		raw[i] = output
	}
	return raw
}
