package backendcaller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Usage is a backend server's report of its resource use, which lags behind.
type Usage struct {
	TakenAt     time.Time             `json:"takenAt"`
	State       string                `json:"state"` // as in the platform's list of backend servers
	Slots       identifier.Slots      `json:"slots"`
	Running     identifier.Slots      `json:"running"`
	Connections int                   `json:"connections"`
	Millicores  identifier.Millicores `json:"millicores"`
	Memory      identifier.Mebibytes  `json:"memoryMebibytes"`
	Tasks       []TaskUsage           `json:"tasks"`
}

// TaskUsage is the resource use of one running task.
type TaskUsage struct {
	Submission identifier.SubmissionID `json:"submission"`
	Index      identifier.TaskIndex    `json:"index"`
	Millicores identifier.Millicores   `json:"millicores"`
	Memory     identifier.Mebibytes    `json:"memoryMebibytes"`
	RunMillis  int64                   `json:"runMillis"`
}

// Query returns the state of a task, and its result if it has ended. While the
// task runs, Query waits for its end, at most for wait.
func (c *Caller) Query(ctx context.Context, address string, task identifier.TaskRef, wait time.Duration) (report TaskReport, err error) {
	defer func() { err = errors.Wrapf(err, "querying task %s on %s", task, address) }()
	return c.query(ctx, address, task, wait)
}

func (c *Caller) query(ctx context.Context, address string, task identifier.TaskRef, wait time.Duration) (TaskReport, error) {
	var resp queryResponse
	req := queryBody{taskRefBody: taskRefBody(task), WaitMillis: wait.Milliseconds()}
	timeout := c.opts.RequestTimeout + wait
	err := c.requestWithTimeout(ctx, timeout, QueryMessage, address, http.MethodPost, "/v1/tasks/query", req, &resp)
	if err != nil {
		return TaskReport{}, err
	}
	report := TaskReport{State: resp.State}
	if resp.Result != nil {
		result, ok := resp.Result.result()
		if !ok {
			return TaskReport{}, errors.Newf("unknown ending %q", resp.Result.Ending)
		}
		report.Result = result
	}
	return report, nil
}

// Usage returns a backend server's report of its resource use.
func (c *Caller) Usage(ctx context.Context, address string) (usage Usage, err error) {
	defer func() { err = errors.Wrapf(err, "reading the usage of %s", address) }()
	err = c.request(ctx, UsageMessage, address, http.MethodGet, "/v1/usage", nil, &usage)
	return usage, err
}
