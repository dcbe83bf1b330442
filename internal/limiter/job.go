package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// taskState is the state of a task of an admitted job.
type taskState uint8

const (
	taskQueued  taskState = iota
	taskDelayed           // put back after a refused start; waits for the retry budget
	taskDispatched
	taskEnded
)

// job is an admitted job with tasks that have not ended.
type job struct {
	submission        identifier.SubmissionID
	queue             *profileQueue
	weight            float64
	retryFraction     float64 // what each first start adds to the retry budget, in repeated starts
	sortKey           int64   // arrival in Unix nanoseconds, less the boost of the priority; the least goes first
	tasks             []TaskEstimate
	states            []taskState
	firstUndispatched int                    // index of the first task that has never been dispatched
	requeued          []identifier.TaskIndex // tasks that were refused or unplaced and are queued again; the last goes first
	unfinishedTasks   int                    // tasks that have not ended
	removed           bool
	position          int // in the queue's heap, or notQueued
}

// notQueued is the position of an item that is in no heap.
const notQueued = -1

func newJob(r *Request, pq *profileQueue, sortKey int64) *job {
	return &job{
		submission:      r.Submission,
		queue:           pq,
		weight:          r.Weight,
		retryFraction:   r.RetryFraction,
		sortKey:         sortKey,
		tasks:           r.Tasks,
		states:          make([]taskState, len(r.Tasks)),
		unfinishedTasks: len(r.Tasks),
		position:        notQueued,
	}
}

// readyTasks is the number of tasks that may be dispatched, apart from the quota.
func (j *job) readyTasks() int { return len(j.tasks) - j.firstUndispatched + len(j.requeued) }

// pop takes the next task to dispatch; requeued tasks go first.
func (j *job) pop() identifier.TaskIndex {
	if n := len(j.requeued); n > 0 {
		i := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		return i
	}
	i := identifier.TaskIndex(j.firstUndispatched)
	j.firstUndispatched++
	return i
}

// expectedTime is the time for which the task is expected to hold its slot.
func (j *job) expectedTime(i identifier.TaskIndex) time.Duration { return j.tasks[i].ExpectedTime }

// dropQueued ends the tasks that are queued or delayed, and returns them.
func (j *job) dropQueued() []identifier.TaskIndex {
	var dropped []identifier.TaskIndex
	for i, state := range j.states {
		if state == taskQueued || state == taskDelayed {
			j.states[i] = taskEnded
			dropped = append(dropped, identifier.TaskIndex(i))
		}
	}
	j.unfinishedTasks -= len(dropped)
	j.requeued = nil
	j.firstUndispatched = len(j.tasks)
	j.removed = true
	return dropped
}
