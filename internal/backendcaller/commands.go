package backendcaller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// MaxStopBatch bounds the tasks of one stop request.
const MaxStopBatch = 4096

// Stop stops tasks on a backend server, in requests of at most MaxStopBatch
// tasks, and returns the state of each, in the order of tasks. On an error the
// states are unknown, and the tasks may have been stopped.
func (c *Caller) Stop(ctx context.Context, address string, tasks []identifier.TaskRef) (states []TaskState, err error) {
	defer func() { err = errors.Wrapf(err, "stopping %d tasks on %s", len(tasks), address) }()
	for len(tasks) > 0 {
		n := min(len(tasks), MaxStopBatch)
		batch, err := c.stopBatch(ctx, address, tasks[:n])
		if err != nil {
			return nil, err
		}
		states = append(states, batch...)
		tasks = tasks[n:]
	}
	return states, nil
}

func (c *Caller) stopBatch(ctx context.Context, address string, tasks []identifier.TaskRef) ([]TaskState, error) {
	req := stopBody{Tasks: make([]taskRefBody, 0, len(tasks))}
	for _, t := range tasks {
		req.Tasks = append(req.Tasks, taskRefBody(t))
	}
	var resp stopResponse
	if err := c.request(ctx, StopMessage, address, http.MethodPost, "/v1/tasks/stop", req, &resp); err != nil {
		return nil, err
	}
	if len(resp.States) != len(tasks) {
		return nil, errors.Newf("the answer has %d states for %d tasks", len(resp.States), len(tasks))
	}
	return resp.States, nil
}

// Throttle sets the speed of a running task, as a share of full speed from 0.01
// to 1.
func (c *Caller) Throttle(ctx context.Context, address string, task identifier.TaskRef, speed float64) (state TaskState, err error) {
	defer func() { err = errors.Wrapf(err, "throttling task %s on %s", task, address) }()
	var resp stateResponse
	req := throttleBody{taskRefBody: taskRefBody(task), Speed: speed}
	err = c.request(ctx, ThrottleMessage, address, http.MethodPost, "/v1/tasks/throttle", req, &resp)
	return resp.State, err
}

// Checkpoint makes a running task save its progress and returns it, from 0 to 1.
func (c *Caller) Checkpoint(ctx context.Context, address string, task identifier.TaskRef) (state TaskState, progress float64, err error) {
	defer func() { err = errors.Wrapf(err, "checkpointing task %s on %s", task, address) }()
	var resp checkpointResponse
	err = c.request(ctx, CheckpointMessage, address, http.MethodPost, "/v1/tasks/checkpoint", taskRefBody(task), &resp)
	return resp.State, resp.Progress, err
}

// request sends a request other than a start within RequestTimeout, and counts
// it and its answer. A nil body sends none.
func (c *Caller) request(ctx context.Context, kind MessageKind, address, method, path string, body, response any) error {
	return c.requestWithTimeout(ctx, c.opts.RequestTimeout, kind, address, method, path, body, response)
}

func (c *Caller) requestWithTimeout(ctx context.Context, timeout time.Duration, kind MessageKind, address, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	r := newRequest(ctx, address, method, path, data)
	if err = exchange(conn, r, response); err != nil {
		c.counters.countWasted(kind, 1)
		return err
	}
	c.counters.countNeeded(kind, 2)
	return nil
}
