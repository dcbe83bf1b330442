package backendserver

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of the ended tasks that a server keeps.
const (
	endedTaskRetention  = time.Minute
	maxEndedTasks       = 8192
	maxEndedOutputBytes = 8 << 20
)

// taskTable holds a server's running tasks and, for endedTaskRetention, those that
// ended.
type taskTable struct {
	tasks           map[identifier.TaskRef]*task
	ended           []endedTask // oldest first
	outputBytes     int         // bytes of the outputs kept
	incompleteUntil time.Time   // until then, an absent task may have been dropped early
}

type endedTask struct {
	task *task
	at   time.Time
}

func newTaskTable() taskTable {
	return taskTable{tasks: make(map[identifier.TaskRef]*task)}
}

// running returns the running tasks, duplicates included.
func (t *taskTable) running() []*task {
	var running []*task
	for _, newest := range t.tasks {
		for started := newest; started != nil; started = started.earlier {
			if started.running() {
				running = append(running, started)
			}
		}
	}
	return running
}

// add adds a task that starts. If a task with the same reference runs, the new
// task takes its place in the table and refers to it as earlier.
func (t *taskTable) add(started *task) {
	if known := t.tasks[started.ref]; known != nil && known.running() {
		started.earlier = known
	}
	t.tasks[started.ref] = started
}

// addEnded adds a task that has ended, and drops the oldest ended tasks beyond the
// bounds.
func (t *taskTable) addEnded(now time.Time, ended *task) {
	t.ended = append(t.ended, endedTask{task: ended, at: now})
	t.outputBytes += len(ended.output)
	for len(t.ended) > 0 {
		oldest := t.ended[0]
		keepUntil := oldest.at.Add(endedTaskRetention)
		overBounds := len(t.ended) > maxEndedTasks || t.outputBytes > maxEndedOutputBytes
		if keepUntil.After(now) && !overBounds {
			return
		}
		if keepUntil.After(now) {
			t.incompleteUntil = keepUntil
		}
		t.dropOldest(oldest.task)
	}
}

func (t *taskTable) dropOldest(oldest *task) {
	t.ended[0] = endedTask{}
	t.ended = t.ended[1:]
	t.outputBytes -= len(oldest.output)
	if t.tasks[oldest.ref] == oldest {
		delete(t.tasks, oldest.ref)
	}
}
