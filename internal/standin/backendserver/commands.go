package backendserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// The states of a task in answers.
const (
	stateNeverStarted = "neverStarted" // and never will: a later start is refused
	stateStopped      = "stopped"      // it ran until this stop
	stateEnded        = "ended"        // it ended before this request
	stateRunning      = "running"
	stateNotFound     = "notFound"
	stateUnknown      = "unknown" // the server dropped ended tasks early and may have dropped this one
)

// MaxStopBatch is the largest number of tasks in one stop request.
const MaxStopBatch = 4096

const maxThrottle = 100 // the largest divisor of a task's speed

type startRequest struct {
	Submission   identifier.SubmissionID `json:"submission"`
	Index        identifier.TaskIndex    `json:"index"`
	Holder       identifier.VMID         `json:"holder"`
	Unrepeatable bool                    `json:"unrepeatable"`
	LeaseMillis  int64                   `json:"leaseMillis"`
	Millicores   identifier.Millicores   `json:"millicores"`
	Memory       identifier.Mebibytes    `json:"memoryMebibytes"`
	Accelerators int                     `json:"accelerators"`
	Payload      json.RawMessage         `json:"payload"`
}

func (r startRequest) ref() identifier.TaskRef {
	return identifier.TaskRef{Submission: r.Submission, Index: r.Index}
}

func (r startRequest) validate() string {
	switch {
	case r.Submission == "" || len(r.Submission) > maxNameSize:
		return "submission: need 1 to 256 bytes"
	case len(r.Holder) > maxNameSize:
		return "holder: need at most 256 bytes"
	case r.LeaseMillis <= 0 || r.LeaseMillis > maxLease.Milliseconds():
		return "leaseMillis: need 1 to 3600000"
	case len(r.Payload) == 0:
		return "payload: missing"
	default:
		return ""
	}
}

type refusalResponse struct {
	Refused string `json:"refused"`
	Detail  string `json:"detail,omitempty"`
}

type endingResponse struct {
	Ending    Ending          `json:"ending"`
	Detail    string          `json:"detail,omitempty"`
	RunMicros int64           `json:"runMicros"`
	Output    json.RawMessage `json:"output,omitempty"`
}

func newEndingResponse(t *task) endingResponse {
	return endingResponse{Ending: t.ending, Detail: t.detail, RunMicros: t.runTime.Microseconds(), Output: t.output}
}

type taskRefBody struct {
	Submission identifier.SubmissionID `json:"submission"`
	Index      identifier.TaskIndex    `json:"index"`
}

func (b taskRefBody) ref() identifier.TaskRef {
	return identifier.TaskRef(b)
}

type stopRequest struct {
	Tasks []taskRefBody `json:"tasks"`
}

type stopResponse struct {
	States []string `json:"states"`
}

type throttleRequest struct {
	taskRefBody
	Speed float64 `json:"speed"` // as a share of the full speed
}

type stateResponse struct {
	State string `json:"state"`
}

type checkpointResponse struct {
	State    string  `json:"state"`
	Progress float64 `json:"progress"`
}

// postStart starts a task and answers when it ends, or refuses it at once.
func (s *server) postStart(w http.ResponseWriter, r *http.Request) {
	var req startRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	if problem := req.validate(); problem != "" {
		refuseRequest(w, problem)
		return
	}
	t, refusal := s.startTask(req)
	if refusal != "" {
		respond(w, refusalStatus(refusal), refusalResponse{Refused: refusal})
		return
	}
	<-t.done // the lease bounds this wait
	if t.ending == Succeeded {
		respondSucceeded(w, t)
		return
	}
	respond(w, http.StatusOK, newEndingResponse(t))
}

// respondSucceeded writes the same answer as respond, but avoids the JSON encoder,
// which would scan the output once more.
func respondSucceeded(w http.ResponseWriter, t *task) {
	body := append(make([]byte, 0, len(t.output)+len(succeededPrefix)+32), succeededPrefix...)
	body = strconv.AppendInt(body, t.runTime.Microseconds(), 10)
	body = append(body, `,"output":`...)
	body = append(body, t.output...)
	body = append(body, '}')
	writeJSON(w, http.StatusOK, body)
}

const succeededPrefix = `{"ending":"succeeded","runMicros":`

func refusalStatus(refusal string) int {
	switch refusal {
	case refusedTooLarge:
		return http.StatusRequestEntityTooLarge
	case refusedCancelled:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *server) postStop(w http.ResponseWriter, r *http.Request) {
	var req stopRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	if len(req.Tasks) > MaxStopBatch {
		refuseRequest(w, "tasks: above 4096")
		return
	}
	resp := stopResponse{States: make([]string, 0, len(req.Tasks))}
	for _, b := range req.Tasks {
		resp.States = append(resp.States, s.stopTask(b.ref()))
	}
	respond(w, http.StatusOK, resp)
}

func (s *server) postThrottle(w http.ResponseWriter, r *http.Request) {
	var req throttleRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	if !(req.Speed >= 1.0/maxThrottle && req.Speed <= 1) {
		refuseRequest(w, "speed: not from 0.01 to 1")
		return
	}
	respond(w, http.StatusOK, stateResponse{State: s.throttleTask(req.ref(), req.Speed)})
}

func (s *server) throttleTask(ref identifier.TaskRef, speed float64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, state := s.findTask(ref)
	if state == stateRunning {
		now := time.Now()
		t.updateWork(now)
		t.speed = speed
		t.timer.Reset(t.timeToEnd(now))
	}
	return state
}

func (s *server) postCheckpoint(w http.ResponseWriter, r *http.Request) {
	var req taskRefBody
	if !decodeRequest(w, r, &req) {
		return
	}
	s.mu.Lock()
	t, state := s.findTask(req.ref())
	resp := checkpointResponse{State: state}
	if state == stateRunning {
		t.updateWork(time.Now())
		t.checkpointProgress = t.progress()
	}
	if t != nil {
		resp.Progress = t.checkpointProgress
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, resp)
}

// findTask returns a task and its state. The caller holds mu.
func (s *server) findTask(ref identifier.TaskRef) (*task, string) {
	t, known := s.table.tasks[ref]
	switch {
	case !known:
		return nil, stateNotFound
	case t.cancelled:
		return t, stateNeverStarted
	case t.running():
		return t, stateRunning
	default:
		return t, stateEnded
	}
}
