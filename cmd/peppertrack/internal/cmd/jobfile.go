package cmd

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
)

const maxJobFileSize = 64 << 20 // bytes

// jobFile is the content of a job file, in YAML or JSON. Its keys are those of the
// callers' API.
type jobFile struct {
	SubmissionID   identifier.SubmissionID `yaml:"submissionId"`
	Attempt        identifier.Attempt      `yaml:"attempt"`
	CreatedAt      time.Time               `yaml:"createdAt"`
	Profile        identifier.ProfileName  `yaml:"profile"`
	DeadlineMillis int64                   `yaml:"deadlineMillis"`
	Unrepeatable   bool                    `yaml:"unrepeatable"`
	Tasks          []jobFileTask           `yaml:"tasks"`
}

type jobFileTask struct {
	Payload         any                   `yaml:"payload"`
	RunTimeMillis   int64                 `yaml:"runTimeMillis"`
	Millicores      identifier.Millicores `yaml:"millicores"`
	MemoryMebibytes identifier.Mebibytes  `yaml:"memoryMebibytes"`
	Accelerators    int                   `yaml:"accelerators"`
}

// readJob reads a job from a file, or from the standard input if name is "-".
func readJob(cmd *cobra.Command, name string) (s jobsubmitter.Submission, err error) {
	defer func() { err = errors.Wrapf(err, "job %s", name) }()
	if name == "-" {
		return parseJob(cmd.InOrStdin())
	}
	f, err := os.Open(name)
	if err != nil {
		return s, err
	}
	defer f.Close()
	return parseJob(f)
}

func parseJob(r io.Reader) (s jobsubmitter.Submission, err error) {
	limited := &io.LimitedReader{R: r, N: maxJobFileSize + 1}
	d := yaml.NewDecoder(limited)
	d.KnownFields(true)
	var file jobFile
	if err := d.Decode(&file); err != nil {
		return s, err
	}
	if limited.N == 0 {
		return s, errors.Newf("the file is larger than %d bytes", maxJobFileSize)
	}
	return file.submission()
}

func (f jobFile) submission() (s jobsubmitter.Submission, err error) {
	if f.Profile == "" {
		return s, errors.New("profile: is missing")
	}
	if len(f.Tasks) == 0 {
		return s, errors.New("tasks: at least one is needed")
	}
	s = jobsubmitter.Submission{
		ID:           f.SubmissionID,
		FirstAttempt: f.Attempt,
		CreatedAt:    f.CreatedAt,
		Profile:      f.Profile,
		Deadline:     time.Duration(f.DeadlineMillis) * time.Millisecond,
		Unrepeatable: f.Unrepeatable,
		Tasks:        make([]jobsubmitter.Task, len(f.Tasks)),
	}
	for i, task := range f.Tasks {
		s.Tasks[i], err = task.task()
		if err != nil {
			return s, errors.Wrapf(err, "tasks[%d]", i)
		}
	}
	return s, nil
}

func (t jobFileTask) task() (task jobsubmitter.Task, err error) {
	payload, err := json.Marshal(t.Payload)
	if err != nil {
		return task, errors.Wrap(err, "payload")
	}
	return jobsubmitter.Task{
		Payload:      payload,
		RunTime:      time.Duration(t.RunTimeMillis) * time.Millisecond,
		Cores:        t.Millicores,
		Memory:       t.MemoryMebibytes,
		Accelerators: t.Accelerators,
	}, nil
}
