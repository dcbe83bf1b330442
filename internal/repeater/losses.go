package repeater

import (
	"github.com/peppertrack/peppertrack/internal/crashcounter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// recordLostRuns records that the server crashed with some of its runs.
func (m *Machine) recordLostRuns(o *ownedServer, lost func(*run) bool) {
	for _, r := range o.sortedRuns() {
		if lost(r) {
			m.recordLostRun(o, r, peermessenger.ServerCrashed)
		}
	}
}

// recordLostRun records that a run was lost with its server. ok is false, and nothing is
// recorded, if the server's shutdown was planned or no home has claimed the run.
func (m *Machine) recordLostRun(o *ownedServer, r *run, cause peermessenger.LossCause) (lost peermessenger.LostRun, ok bool) {
	if o.Leaving || r.home == (identifier.Member{}) {
		return lost, false
	}
	lost = peermessenger.LostRun{Run: r.ref, Backend: o.ID, Cause: cause, Alone: r.msg.Alone, Newest: true}
	for _, other := range o.runs {
		lost.Newest = lost.Newest && !other.knownSince.After(r.knownSince)
	}
	m.recordLoss(lost)
	return lost, true
}

// lossCause returns how a server is lost that has not answered until its lease lapsed.
func (o *ownedServer) lossCause() peermessenger.LossCause {
	if o.goneSince.IsZero() {
		return peermessenger.ServerSilent
	}
	return peermessenger.ServerCrashed
}

// recordLoss records a run that was lost with its server, whichever VM has seen it. It ends
// the run's job if its home is here and the task is given up.
func (m *Machine) recordLoss(loss peermessenger.LostRun) {
	task := loss.Run.Task
	before := m.losses.Verdict(task)
	if !m.losses.Record(m.now, loss) {
		return
	}
	m.reportChanged = true
	if loss.Alone {
		m.aloneLosses = append(m.aloneLosses, m.now)
	}
	verdict := m.losses.Verdict(task)
	m.logDecision("runLost", "job", task.Submission, "task", task.Index, "run", loss.Run.Number, "backend", loss.Backend,
		"cause", loss.Cause, "alone", loss.Alone, "newest", loss.Newest, "losses", len(m.losses.Losses(task)), "verdict", verdict)
	if verdict == crashcounter.GiveUp && before != crashcounter.GiveUp {
		m.counters.TasksGivenUp++
		if j := m.jobs[task.Submission]; j != nil && int(task.Index) < len(j.tasks) && j.tasks[task.Index].state != taskEnded {
			m.finishJob(j, Failed{Cause: causeGivenUp})
		}
	}
}

// causeGivenUp is the cause of a failed job with a task that was given up.
const causeGivenUp = "too many servers were lost under a task"

// findGivenUpTask returns a task of a job that was given up, under an earlier submission of
// the job.
func (m *Machine) findGivenUpTask(j Job) (identifier.TaskIndex, bool) {
	for i := range j.Tasks {
		index := identifier.TaskIndex(i)
		if m.losses.Verdict(identifier.TaskRef{Submission: j.ID, Index: index}) == crashcounter.GiveUp {
			return index, true
		}
	}
	return 0, false
}

// failGivenUpJob answers that a job has failed, without another run of its tasks.
func (m *Machine) failGivenUpJob(e JobSubmitted, index identifier.TaskIndex) {
	m.counters.Failed++
	losses := m.losses.Losses(identifier.TaskRef{Submission: e.Job.ID, Index: index})
	m.logDecision("jobEnded", "job", e.Job.ID, "outcome", OutcomeName(Failed{}), "task", index, "losses", len(losses), "cause", causeGivenUp)
	m.emit(Reply{Request: e.Request, Outcome: Failed{Cause: causeGivenUp}})
}
