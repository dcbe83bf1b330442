package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// taskState is where a task of an admitted job stands.
type taskState uint8

const (
	taskQueued taskState = iota
	taskParked           // returned; waits for the budget of repeated starts
	taskDispatched
	taskEnded
)

// job is an admitted job with tasks that have not ended.
type job struct {
	submission identifier.SubmissionID
	lane       *lane
	weight     float64
	retries    float64 // repeated starts that each first start allows
	order      int64   // key among the jobs of the lane; the least goes first
	needs      []TaskNeed
	states     []taskState
	next       int                    // tasks before it have been dispatched at least once
	returned   []identifier.TaskIndex // to be dispatched again
	open       int                    // tasks that have not ended
	removed    bool
	position   int // in the lane's heap, or notQueued
}

// notQueued is the position of an item that is in no heap.
const notQueued = -1

func newJob(r *Request, l *lane, order int64) *job {
	return &job{
		submission: r.Submission,
		lane:       l,
		weight:     r.Weight,
		retries:    r.RetryFraction,
		order:      order,
		needs:      r.Tasks,
		states:     make([]taskState, len(r.Tasks)),
		open:       len(r.Tasks),
		position:   notQueued,
	}
}

// waiting is the number of tasks that may be dispatched.
func (j *job) waiting() int { return len(j.needs) - j.next + len(j.returned) }

// pop takes the next task to dispatch: returned ones go first.
func (j *job) pop() identifier.TaskIndex {
	if n := len(j.returned); n > 0 {
		i := j.returned[n-1]
		j.returned = j.returned[:n-1]
		return i
	}
	i := identifier.TaskIndex(j.next)
	j.next++
	return i
}

// expected is the time for which the task is expected to hold its slot.
func (j *job) expected(i identifier.TaskIndex) time.Duration { return j.needs[i].Expected }

// dropQueued ends the tasks that are queued or parked, and returns them.
func (j *job) dropQueued() []identifier.TaskIndex {
	var dropped []identifier.TaskIndex
	for i, state := range j.states {
		if state == taskQueued || state == taskParked {
			j.states[i] = taskEnded
			dropped = append(dropped, identifier.TaskIndex(i))
		}
	}
	j.open -= len(dropped)
	j.returned = nil
	j.next = len(j.needs)
	j.removed = true
	return dropped
}
