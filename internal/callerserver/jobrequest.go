package callerserver

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of a submission.
const (
	maxIDLength        = 128 // bytes
	maxNameLength      = 63  // bytes
	maxPayloadBytes    = 1 << 20
	maxDeadline        = time.Hour
	maxRunTime         = time.Hour
	maxMillicores      = 1 << 20
	maxMemoryMebibytes = 1 << 24
	maxAccelerators    = 1 << 10
	maxAttempt         = 1 << 20
	defaultAttempt     = 1
)

// jobRequest is the body of a submission.
type jobRequest struct {
	SubmissionID   string        `json:"submissionId"`
	Attempt        uint32        `json:"attempt"`
	CreatedAt      time.Time     `json:"createdAt"`
	Profile        string        `json:"profile"`
	DeadlineMillis int64         `json:"deadlineMillis"`
	Unrepeatable   bool          `json:"unrepeatable"`
	Wait           *bool         `json:"wait"`
	Tasks          []taskRequest `json:"tasks"`
}

// taskRequest is one task of a submission.
type taskRequest struct {
	Payload         json.RawMessage `json:"payload"`
	RunTimeMillis   int64           `json:"runTimeMillis"`
	Millicores      int64           `json:"millicores"`
	MemoryMebibytes int64           `json:"memoryMebibytes"`
	Accelerators    int             `json:"accelerators"`
}

// decodeJob decodes the body of a submission. It fails with *FieldError for an
// unknown field and for more than one JSON value.
func decodeJob(r io.Reader) (request jobRequest, err error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&request); err != nil {
		return jobRequest{}, &FieldError{Field: "body", Problem: err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return jobRequest{}, &FieldError{Field: "body", Problem: "has more than one JSON value"}
	}
	return request, nil
}

// waits reports whether the caller waits for the ending, as it does by default.
func (q jobRequest) waits() bool {
	return q.Wait == nil || *q.Wait
}

// job returns the job of the request, or *FieldError for a value out of bounds.
func (q jobRequest) job(team identifier.Team, maxTasks int) (declarer.Job, error) {
	id, err := parseID(q.SubmissionID)
	if err != nil {
		return declarer.Job{}, err
	}
	if q.Profile == "" || len(q.Profile) > maxNameLength {
		return declarer.Job{}, &FieldError{Field: "profile", Problem: fmt.Sprintf("is not of 1 to %d characters", maxNameLength)}
	}
	if err := checkRange("deadlineMillis", q.DeadlineMillis, maxDeadline.Milliseconds()); err != nil {
		return declarer.Job{}, err
	}
	if err := checkRange("attempt", int64(q.Attempt), maxAttempt); err != nil {
		return declarer.Job{}, err
	}
	tasks, err := q.checkedTasks(maxTasks)
	if err != nil {
		return declarer.Job{}, err
	}
	return declarer.Job{
		Submission:   id,
		Attempt:      identifier.Attempt(max(q.Attempt, defaultAttempt)),
		Team:         team,
		Profile:      identifier.ProfileName(q.Profile),
		CreatedAt:    q.CreatedAt,
		Deadline:     time.Duration(q.DeadlineMillis) * time.Millisecond,
		Unrepeatable: q.Unrepeatable,
		Tasks:        tasks,
	}, nil
}

func (q jobRequest) checkedTasks(maxTasks int) ([]declarer.Task, error) {
	if len(q.Tasks) == 0 || len(q.Tasks) > maxTasks {
		return nil, &FieldError{Field: "tasks", Problem: fmt.Sprintf("has %d entries, not 1 to %d", len(q.Tasks), maxTasks)}
	}
	tasks := make([]declarer.Task, len(q.Tasks))
	for i, t := range q.Tasks {
		task, err := t.task(fmt.Sprintf("tasks[%d]", i))
		if err != nil {
			return nil, err
		}
		tasks[i] = task
	}
	return tasks, nil
}

// task returns the task of the request, or *FieldError for a value out of bounds.
// The prefix names the task in errors.
func (t taskRequest) task(prefix string) (declarer.Task, error) {
	checks := []struct {
		field        string
		value, limit int64
	}{
		{"payload", int64(len(t.Payload)), maxPayloadBytes},
		{"runTimeMillis", t.RunTimeMillis, maxRunTime.Milliseconds()},
		{"millicores", t.Millicores, maxMillicores},
		{"memoryMebibytes", t.MemoryMebibytes, maxMemoryMebibytes},
		{"accelerators", int64(t.Accelerators), maxAccelerators},
	}
	for _, c := range checks {
		if err := checkRange(prefix+"."+c.field, c.value, c.limit); err != nil {
			return declarer.Task{}, err
		}
	}
	return declarer.Task{
		Payload:      t.Payload,
		RunTime:      time.Duration(t.RunTimeMillis) * time.Millisecond,
		Cores:        identifier.Millicores(t.Millicores),
		Memory:       identifier.Mebibytes(t.MemoryMebibytes),
		Accelerators: declarer.Accelerators(t.Accelerators),
	}, nil
}

func checkRange(field string, value, limit int64) error {
	if value < 0 || value > limit {
		return &FieldError{Field: field, Problem: fmt.Sprintf("%d is not from 0 to %d", value, limit)}
	}
	return nil
}
