package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
)

// worldTask is a start on its way to, or running on, a backend server.
type worldTask struct {
	vm       identifier.Member
	start    StartTask
	arrives  time.Time
	ends     time.Time
	running  bool
	lost     bool // its answer will be lost
	fails    bool
	finished bool
}

func worldBackendList() []placer.Backend {
	var list []placer.Backend
	for n := range worldBackends {
		list = append(list, placer.Backend{
			ID:          identifier.BackendID(fmt.Sprintf("backend%d", n)),
			Domain:      worldDomains[n%len(worldDomains)],
			Rack:        "rack",
			Address:     "x",
			Slots:       worldSlots,
			Connections: 64,
			Millicores:  8000,
			Memory:      8000,
		})
	}
	return list
}

// runTasks starts, ends and answers tasks on the fake backend servers.
func (w *world) runTasks() {
	for _, task := range w.tasks {
		switch {
		case !task.running && !task.finished && !task.arrives.After(w.now):
			w.startTask(task)
		case task.running && !task.ends.After(w.now):
			w.endTask(task)
		}
	}
	w.tasks = slices.DeleteFunc(w.tasks, func(t *worldTask) bool { return t.finished })
}

func (w *world) startTask(task *worldTask) {
	if w.used[task.start.Backend] >= worldSlots {
		task.finished = true
		w.faults["startRefused"]++
		w.answer(task, StartRefused{Reason: placer.Full})
		return
	}
	ref := task.start.Ref
	w.starts[ref]++
	if w.starts[ref] > 1 {
		w.t.Fatalf("task %s was started twice", ref)
	}
	w.used[task.start.Backend]++
	task.running = true
	task.ends = w.now.Add(task.start.Task.RunTime)
}

func (w *world) endTask(task *worldTask) {
	task.running = false
	task.finished = true
	w.used[task.start.Backend]--
	switch {
	case task.lost:
		w.faults["answerLost"]++
		w.answer(task, AnswerLost{Detail: "lost"})
	case task.fails:
		w.faults["taskFailed"]++
		w.answer(task, TaskFailed{Detail: "failed", RunTime: task.start.Task.RunTime})
	default:
		w.answer(task, TaskSucceeded{Output: outputOf(task.start.Ref), RunTime: task.start.Task.RunTime})
	}
}

func outputOf(ref identifier.TaskRef) []byte { return []byte("output of " + ref.String()) }

func (w *world) stop(ref identifier.TaskRef) {
	for _, task := range w.tasks {
		if task.start.Ref == ref && task.running {
			task.ends = w.now
			task.fails = true
		}
	}
}

func (w *world) answer(task *worldTask, outcome StartOutcome) {
	vm, ok := w.vms[task.vm.VM]
	if !ok || vm.member != task.vm {
		return // the entry VM that started it is gone
	}
	w.give(vm, StartEnded{Ref: task.start.Ref, Backend: task.start.Backend, Outcome: outcome})
}

// runTime draws the run time of a task; a few outlast their job's deadline.
func (w *world) runTime() time.Duration {
	if w.rand.IntN(stragglerOdds) == 0 {
		w.faults["straggler"]++
		return 2 * worldDeadline
	}
	return time.Duration(10+w.rand.IntN(200)) * time.Millisecond
}
