package dispatcher

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// replied checks an answer against what happened.
func (w *world) replied(vm *worldVM, r Reply) {
	key := worldRequest{vm.member, r.Request}
	id, ok := w.asked[key]
	if !ok {
		w.t.Fatalf("request %v was answered twice", key)
	}
	delete(w.asked, key)
	client := w.clients[id]
	switch e := r.Status.Ending.(type) {
	case declarer.Complete:
		w.checkComplete(client, e)
	case declarer.Failed:
		w.checkFailed(client, e)
	case declarer.Refused:
		w.checkRefused(id, e)
	}
}

func (w *world) checkComplete(client *worldClient, e declarer.Complete) {
	id := client.job.Submission
	if len(e.Outputs) != len(client.job.Tasks) {
		w.t.Fatalf("submission %s: %d outputs for %d tasks", id, len(e.Outputs), len(client.job.Tasks))
	}
	for i, output := range e.Outputs {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if string(output) != string(outputOf(ref)) {
			w.t.Fatalf("task %s: got %q", ref, output)
		}
	}
	if _, failed := client.ending.(declarer.Failed); failed {
		w.t.Fatalf("submission %s was first failed, then complete", id)
	}
	client.ending = e
}

func (w *world) checkFailed(client *worldClient, e declarer.Failed) {
	id := client.job.Submission
	if len(e.Outcomes) != len(client.job.Tasks) {
		w.t.Fatalf("submission %s: %d outcomes for %d tasks", id, len(e.Outcomes), len(client.job.Tasks))
	}
	for i, outcome := range e.Outcomes {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if outcome == declarer.NeverStarted && w.starts[ref] > 0 {
			w.t.Fatalf("task %s was started, and the answer says it never was", ref)
		}
	}
	if _, complete := client.ending.(declarer.Complete); complete {
		w.t.Fatalf("submission %s was first complete, then failed: %v", id, e)
	}
	client.ending = e
}

// checkRefused holds that nothing of a refused submission has started.
func (w *world) checkRefused(id identifier.SubmissionID, e declarer.Refused) {
	for i := range w.tasksOf[id] {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if w.starts[ref] > 0 {
			w.t.Fatalf("submission %s was refused (%s), and task %d was started", id, e.Cause, i)
		}
	}
}

// describe says where a submission stands on each VM.
func (w *world) describe(id identifier.SubmissionID) string {
	text := ""
	for _, name := range w.names() {
		m := w.vms[name].machine
		if j, ok := m.jobs[id]; ok {
			text += fmt.Sprintf("%s: claimed %v admitted %v ended %d of %d; ", name, j.claimed, j.admitted, j.ended, len(j.states))
		}
		if record, ok := m.claimer.Find(id); ok {
			text += fmt.Sprintf("%s: record %+v; ", name, record)
		}
		for _, number := range m.sortedForwards() {
			if subjectID, _ := subject(m.forwards[number].message); subjectID == id {
				text += fmt.Sprintf("%s: forward %+v; ", name, m.forwards[number])
			}
		}
	}
	return text
}
