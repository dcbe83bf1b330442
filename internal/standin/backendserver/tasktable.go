package backendserver

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of what a server keeps of the tasks that have ended.
const (
	retention       = time.Minute
	maxEndedTasks   = 8192
	maxEndedOutputs = 8 << 20 // bytes
)

// taskTable holds a server's running tasks and, for a while, those that ended.
type taskTable struct {
	tasks       map[identifier.TaskRef]*task
	ended       []endedTask // oldest first
	outputs     int         // bytes of the outputs kept
	forgetsTill time.Time   // until then, an absent task may have been dropped early
}

type endedTask struct {
	task *task
	at   time.Time
}

func newTaskTable() taskTable {
	return taskTable{tasks: make(map[identifier.TaskRef]*task)}
}

// running returns the tasks that run.
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

// add adds a task that starts. A running task of the same reference stays with
// it.
func (t *taskTable) add(started *task) {
	if known := t.tasks[started.ref]; known != nil && known.running() {
		started.earlier = known
	}
	t.tasks[started.ref] = started
}

// keep keeps a task that has ended.
func (t *taskTable) keep(now time.Time, ended *task) {
	t.ended = append(t.ended, endedTask{task: ended, at: now})
	t.outputs += len(ended.output)
	for len(t.ended) > 0 {
		oldest := t.ended[0]
		due := oldest.at.Add(retention)
		full := len(t.ended) > maxEndedTasks || t.outputs > maxEndedOutputs
		if due.After(now) && !full {
			return
		}
		if due.After(now) {
			t.forgetsTill = due
		}
		t.drop(oldest.task)
	}
}

func (t *taskTable) drop(oldest *task) {
	t.ended[0] = endedTask{}
	t.ended = t.ended[1:]
	t.outputs -= len(oldest.output)
	if t.tasks[oldest.ref] == oldest {
		delete(t.tasks, oldest.ref)
	}
}
