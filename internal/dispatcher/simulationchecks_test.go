package dispatcher

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// checkReply checks an answer against what has happened in the simulation.
func (s *simulation) checkReply(vm *simVM, r Reply) {
	key := simRequest{vm.member, r.Request}
	id, ok := s.openRequests[key]
	if !ok {
		s.t.Fatalf("request %v was answered twice", key)
	}
	delete(s.openRequests, key)
	client := s.clients[id]
	switch e := r.Status.Ending.(type) {
	case declarer.Complete:
		s.checkComplete(client, e)
	case declarer.Failed:
		s.checkFailed(client, e)
	case declarer.Refused:
		s.checkRefused(id, e)
	}
}

func (s *simulation) checkComplete(client *simClient, e declarer.Complete) {
	id := client.job.Submission
	if len(e.Outputs) != len(client.job.Tasks) {
		s.t.Fatalf("submission %s: %d outputs for %d tasks", id, len(e.Outputs), len(client.job.Tasks))
	}
	for i, output := range e.Outputs {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if string(output) != string(outputOf(ref)) {
			s.t.Fatalf("task %s: got %q", ref, output)
		}
	}
	if _, failed := client.ending.(declarer.Failed); failed {
		s.t.Fatalf("submission %s was first failed, then complete", id)
	}
	client.ending = e
}

func (s *simulation) checkFailed(client *simClient, e declarer.Failed) {
	id := client.job.Submission
	if len(e.Outcomes) != len(client.job.Tasks) {
		s.t.Fatalf("submission %s: %d outcomes for %d tasks", id, len(e.Outcomes), len(client.job.Tasks))
	}
	for i, outcome := range e.Outcomes {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if outcome == declarer.NeverStarted && s.starts[ref] > 0 {
			s.t.Fatalf("task %s was started, but the answer says that it never was", ref)
		}
	}
	if _, complete := client.ending.(declarer.Complete); complete {
		s.t.Fatalf("submission %s was first complete, then failed: %v", id, e)
	}
	client.ending = e
}

// checkRefused checks that no task of a refused submission has started.
func (s *simulation) checkRefused(id identifier.SubmissionID, e declarer.Refused) {
	for i := range s.tasksOf[id] {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if s.starts[ref] > 0 {
			s.t.Fatalf("submission %s was refused (%s), but task %d was started", id, e.Cause, i)
		}
	}
}

// describe returns the state of a submission on each VM.
func (s *simulation) describe(id identifier.SubmissionID) string {
	text := ""
	for _, name := range s.vmIDs() {
		m := s.vms[name].machine
		if j, ok := m.jobs[id]; ok {
			text += fmt.Sprintf("%s: claimed %v admitted %v ended %d of %d; ", name, j.claimed, j.admitted, j.endedTasks, len(j.states))
		}
		if record, ok := m.claimer.Find(id); ok {
			text += fmt.Sprintf("%s: record %+v; ", name, record)
		}
		for _, number := range m.sortedForwards() {
			if submission, _ := submissionOf(m.forwards[number].message); submission == id {
				text += fmt.Sprintf("%s: forward %+v; ", name, m.forwards[number])
			}
		}
	}
	return text
}
