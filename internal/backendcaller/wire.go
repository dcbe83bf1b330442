package backendcaller

import (
	"encoding/json"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

type taskRefBody struct {
	Submission identifier.SubmissionID `json:"submission"`
	Index      identifier.TaskIndex    `json:"index"`
}

type startBody struct {
	taskRefBody
	Holder       identifier.VMID       `json:"holder"`
	Unrepeatable bool                  `json:"unrepeatable,omitempty"`
	LeaseMillis  int64                 `json:"leaseMillis"`
	Millicores   identifier.Millicores `json:"millicores,omitempty"`
	Memory       identifier.Mebibytes  `json:"memoryMebibytes,omitempty"`
	Accelerators int                   `json:"accelerators,omitempty"`
	Payload      json.RawMessage       `json:"payload"`
}

type refusalResponse struct {
	Refused string `json:"refused"`
	Detail  string `json:"detail"`
}

type endingResponse struct {
	Ending    string          `json:"ending"`
	Detail    string          `json:"detail"`
	RunMicros int64           `json:"runMicros"`
	Output    json.RawMessage `json:"output"`
}

// result returns the result that the ending stands for, or false for an unknown
// ending.
func (r endingResponse) result() (StartResult, bool) {
	runTime := time.Duration(r.RunMicros) * time.Microsecond
	switch r.Ending {
	case "succeeded":
		return Succeeded{Output: r.Output, RunTime: runTime}, true
	case string(Failed), string(Stopped), string(LeaseLapsed), string(Died):
		return TaskFailed{Cause: FailureCause(r.Ending), Detail: r.Detail, RunTime: runTime}, true
	default:
		return nil, false
	}
}

type queryBody struct {
	taskRefBody
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

type queryResponse struct {
	State  TaskState       `json:"state"`
	Result *endingResponse `json:"result"`
}

type stopBody struct {
	Tasks []taskRefBody `json:"tasks"`
}

type stopResponse struct {
	States []TaskState `json:"states"`
}

type throttleBody struct {
	taskRefBody
	Speed float64 `json:"speed"`
}

type stateResponse struct {
	State TaskState `json:"state"`
}

type checkpointResponse struct {
	State    TaskState `json:"state"`
	Progress float64   `json:"progress"`
}
