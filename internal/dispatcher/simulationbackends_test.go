package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
)

// simTask is a task whose start is in transit to a backend server or that runs
// there.
type simTask struct {
	vm       identifier.Member
	start    StartTask
	arrives  time.Time
	ends     time.Time
	running  bool
	lost     bool // its answer will be lost
	fails    bool
	finished bool
}

func simBackendList() []placer.Backend {
	var list []placer.Backend
	for n := range simBackends {
		list = append(list, placer.Backend{
			ID:          identifier.BackendID(fmt.Sprintf("backend%d", n)),
			Domain:      simDomains[n%len(simDomains)],
			Rack:        "rack",
			Address:     "x",
			Slots:       simSlotsPerBackend,
			Connections: 64,
			Millicores:  8000,
			Memory:      8000,
		})
	}
	return list
}

// runTasks starts and ends the due tasks on the fake backend servers and sends
// their outcomes.
func (s *simulation) runTasks() {
	for _, task := range s.tasks {
		switch {
		case !task.running && !task.finished && !task.arrives.After(s.now):
			s.startTask(task)
		case task.running && !task.ends.After(s.now):
			s.endTask(task)
		}
	}
	s.tasks = slices.DeleteFunc(s.tasks, func(t *simTask) bool { return t.finished })
}

func (s *simulation) startTask(task *simTask) {
	if s.usedSlots[task.start.Backend] >= simSlotsPerBackend {
		task.finished = true
		s.faults["startRefused"]++
		s.answer(task, StartRefused{Reason: placer.Full})
		return
	}
	ref := task.start.Ref
	s.starts[ref]++
	if s.starts[ref] > 1 {
		s.t.Fatalf("task %s was started twice", ref)
	}
	s.usedSlots[task.start.Backend]++
	task.running = true
	task.ends = s.now.Add(task.start.Task.RunTime)
}

func (s *simulation) endTask(task *simTask) {
	task.running = false
	task.finished = true
	s.usedSlots[task.start.Backend]--
	switch {
	case task.lost:
		s.faults["answerLost"]++
		s.answer(task, OutcomeUnknown{Detail: "lost"})
	case task.fails:
		s.faults["taskFailed"]++
		s.answer(task, TaskFailed{Detail: "failed", RunTime: task.start.Task.RunTime})
	default:
		s.answer(task, TaskSucceeded{Output: outputOf(task.start.Ref), RunTime: task.start.Task.RunTime})
	}
}

func outputOf(ref identifier.TaskRef) []byte { return []byte("output of " + ref.String()) }

func (s *simulation) stopTask(ref identifier.TaskRef) {
	for _, task := range s.tasks {
		if task.start.Ref == ref && task.running {
			task.ends = s.now
			task.fails = true
		}
	}
}

func (s *simulation) answer(task *simTask, outcome StartOutcome) {
	vm, ok := s.vms[task.vm.VM]
	if !ok || vm.member != task.vm {
		return // the entry VM that started it has terminated
	}
	s.deliverEvent(vm, StartTaskFinished{Ref: task.start.Ref, Backend: task.start.Backend, Outcome: outcome})
}

// runTime draws the run time of a task; a few tasks outlast their job's deadline.
func (s *simulation) runTime() time.Duration {
	if s.rand.IntN(stragglerOdds) == 0 {
		s.faults["straggler"]++
		return 2 * simDeadline
	}
	return time.Duration(10+s.rand.IntN(200)) * time.Millisecond
}
