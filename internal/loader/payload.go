package loader

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

// taskPayload is the payload of a task, as the stand-in for backend servers reads
// it.
type taskPayload struct {
	SleepMillis int64  `json:"sleepMillis"`
	Key         string `json:"key"`
}

// taskOutput is the output of a task, as the stand-in for backend servers writes
// it.
type taskOutput struct {
	Checksum string `json:"checksum"`
}

// newSubmission returns the submission of a planned job.
func newSubmission(w Workload, job PlannedJob) (s jobsubmitter.Submission, err error) {
	defer func() { err = errors.Wrapf(err, "building job %d", job.Number) }()
	s = jobsubmitter.Submission{
		Profile:      w.Profile,
		Deadline:     w.Deadline,
		Unrepeatable: job.Unrepeatable,
		Tasks:        make([]jobsubmitter.Task, len(job.RunTimes)),
	}
	for i, runTime := range job.RunTimes {
		payload, err := newPayload(w.Seed, job.Number, i, runTime)
		if err != nil {
			return jobsubmitter.Submission{}, err
		}
		s.Tasks[i] = jobsubmitter.Task{Payload: payload, RunTime: job.DeclaredRunTimes[i]}
	}
	return s, nil
}

func newPayload(seed uint64, job, task int, runTime time.Duration) (payload json.RawMessage, err error) {
	return json.Marshal(taskPayload{
		SleepMillis: runTime.Milliseconds(),
		Key:         fmt.Sprintf("%d-%d-%d", seed, job, task),
	})
}

// wrongOutputs lists the tasks whose output doesn't match the submission ID, the
// task's index and its payload.
func wrongOutputs(s jobsubmitter.Submission, outputs [][]byte) []identifier.TaskIndex {
	var wrong []identifier.TaskIndex
	for i := range min(len(outputs), len(s.Tasks)) {
		index := identifier.TaskIndex(i)
		var output taskOutput
		want := backendserver.Checksum(identifier.TaskRef{Submission: s.ID, Index: index}, s.Tasks[i].Payload)
		if err := json.Unmarshal(outputs[i], &output); err != nil || output.Checksum != want {
			wrong = append(wrong, index)
		}
	}
	return wrong
}
