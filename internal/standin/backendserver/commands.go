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
	stateNeverStarted = "neverStarted" // and won't be: a later start is refused
	stateStopped      = "stopped"      // it ran until the stop
	stateEnded        = "ended"        // it had ended before
	stateRunning      = "running"
	stateNotFound     = "notFound"
	stateUnknown      = "unknown" // the server had to forget tasks that ended lately
)

// MaxStopBatch bounds the tasks of one stop.
const MaxStopBatch = 4096

const maxThrottle = 100 // of a task's speed, as a divisor

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

func (r startRequest) check() string {
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
	Speed float64 `json:"speed"` // share of the full speed
}

type stateResponse struct {
	State string `json:"state"`
}

type checkpointResponse struct {
	State    string  `json:"state"`
	Progress float64 `json:"progress"`
}

// postStart starts a task and answers at its end, or refuses at once.
func (s *server) postStart(w http.ResponseWriter, r *http.Request) {
	var req startRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	if wrong := req.check(); wrong != "" {
		refuseRequest(w, wrong)
		return
	}
	t, refusal := s.start(req)
	if refusal != "" {
		respond(w, refusalStatus(refusal), refusalResponse{Refused: refusal})
		return
	}
	<-t.done // the lease bounds it
	if t.ending == Succeeded {
		respondSucceeded(w, t)
		return
	}
	respond(w, http.StatusOK, newEndingResponse(t))
}

// respondSucceeded answers as respond does. It spares the encoder, which would
// scan the output once more.
func respondSucceeded(w http.ResponseWriter, t *task) {
	body := append(make([]byte, 0, len(t.output)+len(succeededHead)+32), succeededHead...)
	body = strconv.AppendInt(body, t.runTime.Microseconds(), 10)
	body = append(body, `,"output":`...)
	body = append(body, t.output...)
	body = append(body, '}')
	writeJSON(w, http.StatusOK, body)
}

const succeededHead = `{"ending":"succeeded","runMicros":`

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
		resp.States = append(resp.States, s.stop(b.ref()))
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
	respond(w, http.StatusOK, stateResponse{State: s.throttle(req.ref(), req.Speed)})
}

func (s *server) throttle(ref identifier.TaskRef, speed float64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, state := s.find(ref)
	if state == stateRunning {
		now := time.Now()
		t.settle(now)
		t.speed = speed
		t.timer.Reset(t.rest(now))
	}
	return state
}

func (s *server) postCheckpoint(w http.ResponseWriter, r *http.Request) {
	var req taskRefBody
	if !decodeRequest(w, r, &req) {
		return
	}
	s.mu.Lock()
	t, state := s.find(req.ref())
	resp := checkpointResponse{State: state}
	if state == stateRunning {
		t.settle(time.Now())
		t.checkpointed = t.progress()
	}
	if t != nil {
		resp.Progress = t.checkpointed
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, resp)
}

// find returns a task and its state. The caller holds mu.
func (s *server) find(ref identifier.TaskRef) (*task, string) {
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
