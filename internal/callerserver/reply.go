package callerserver

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	domainHeader   = "Peppertrack-Failure-Domain"
	busyRetryAfter = 500 * time.Millisecond
)

// reply is the JSON body of every answer to a request about a job.
type reply struct {
	SubmissionID     identifier.SubmissionID `json:"submissionId,omitempty"`
	Ending           string                  `json:"ending"`
	Cause            string                  `json:"cause,omitempty"`
	Field            string                  `json:"field,omitempty"`
	Detail           string                  `json:"detail,omitempty"`
	RetryAfterMillis int64                   `json:"retryAfterMillis,omitempty"`
	Ended            *int                    `json:"ended,omitempty"`
	Tasks            int                     `json:"tasks,omitempty"`
	Outputs          []json.RawMessage       `json:"outputs,omitempty"`
	Outcomes         []declarer.TaskOutcome  `json:"outcomes,omitempty"`
}

// writeStatus answers with the status of a submission.
func writeStatus(w http.ResponseWriter, id identifier.SubmissionID, status declarer.Status) {
	if !status.Known {
		writeReply(w, http.StatusNotFound, reply{SubmissionID: id, Ending: "unknown", Detail: "nothing is known of this submission"})
		return
	}
	switch e := status.Ending.(type) {
	case nil:
		ended := status.EndedTasks
		writeReply(w, http.StatusAccepted, reply{SubmissionID: id, Ending: "running", Ended: &ended, Tasks: status.Tasks})
	case declarer.Complete:
		writeReply(w, http.StatusOK, reply{SubmissionID: id, Ending: "complete", Outputs: rawOutputs(e.Outputs)})
	case declarer.Failed:
		writeReply(w, http.StatusUnprocessableEntity, reply{SubmissionID: id, Ending: "failed", Cause: string(e.Cause), Detail: e.Detail, Outcomes: e.Outcomes})
	case declarer.Refused:
		writeRefused(w, id, e)
	case declarer.Unverifiable:
		setRetryAfter(w, e.RetryAfter)
		writeReply(w, http.StatusConflict, reply{SubmissionID: id, Ending: "unverifiable", Cause: string(e.Cause), Detail: e.Detail, RetryAfterMillis: e.RetryAfter.Milliseconds()})
	default:
		panic(fmt.Sprintf("unknown ending %T", e))
	}
}

func writeRefused(w http.ResponseWriter, id identifier.SubmissionID, e declarer.Refused) {
	code := http.StatusServiceUnavailable
	if e.Cause == declarer.BadRequest {
		code = http.StatusBadRequest
	}
	setRetryAfter(w, e.RetryAfter)
	writeReply(w, code, reply{SubmissionID: id, Ending: "refused", Cause: string(e.Cause), Detail: e.Detail, RetryAfterMillis: e.RetryAfter.Milliseconds()})
}

// writeError answers a request that failed before a decision on its job.
func writeError(w http.ResponseWriter, err error) {
	var field *FieldError
	var busy *BusyError
	var unauthenticated *authenticator.UnauthenticatedError
	var forbidden *authenticator.ForbiddenError
	switch {
	case errors.As(err, &field):
		writeReply(w, http.StatusBadRequest, reply{Ending: "refused", Cause: string(declarer.BadRequest), Field: field.Field, Detail: field.Problem})
	case errors.As(err, &busy):
		setRetryAfter(w, busy.RetryAfter)
		writeReply(w, http.StatusConflict, reply{Ending: "unverifiable", Cause: string(declarer.TooManyRequests), Detail: busy.Error(), RetryAfterMillis: busy.RetryAfter.Milliseconds()})
	case errors.As(err, &unauthenticated):
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeReply(w, http.StatusUnauthorized, reply{Ending: "refused", Cause: "unauthenticated", Detail: unauthenticated.Detail})
	case errors.As(err, &forbidden):
		writeReply(w, http.StatusForbidden, reply{Ending: "refused", Cause: "forbidden", Detail: forbidden.Detail})
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		writeReply(w, http.StatusConflict, reply{Ending: "unverifiable", Cause: string(declarer.HomeUnreachable), Detail: "the request ended before its answer came"})
	default:
		writeReply(w, http.StatusConflict, reply{Ending: "unverifiable", Cause: string(declarer.HomeUnreachable), Detail: err.Error()})
	}
}

func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d <= 0 {
		return
	}
	seconds := int64(math.Ceil(d.Seconds()))
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
}

func writeReply(w http.ResponseWriter, code int, body reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // on an error the caller has disconnected; it can fetch later
}

// rawOutputs returns outputs as JSON values; an output that is not JSON becomes a
// string.
func rawOutputs(outputs [][]byte) []json.RawMessage {
	raw := make([]json.RawMessage, len(outputs))
	for i, output := range outputs {
		raw[i] = rawOutput(output)
	}
	return raw
}

func rawOutput(output []byte) json.RawMessage {
	if len(output) == 0 {
		return json.RawMessage("null")
	}
	if json.Valid(output) {
		return output
	}
	quoted, err := json.Marshal(string(output))
	if err != nil {
		return json.RawMessage("null") // can't happen: every string encodes
	}
	return quoted
}
