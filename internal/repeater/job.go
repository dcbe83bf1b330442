package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// Job is a job that may be repeated, as a caller submits it.
type Job struct {
	ID       identifier.SubmissionID
	Route    router.Route
	Version  router.Version // of the table that Route is from
	Spec     string
	Tasks    int
	Cores    identifier.Millicores // of each task
	Memory   identifier.Mebibytes  // of each task
	Estimate time.Duration         // of each task's run time
	Budget   time.Duration         // how long the caller waits
}

// taskState says how far a task is.
type taskState uint8

const (
	taskWaiting  taskState = iota // no owner has it
	taskSent                      // an owner has it, as far as is known
	taskPlaced                    // a server has started it
	taskOrphaned                  // its owner is lost; it may still run until restartAt
	taskEnded
)

// task is one task of an open job at its home.
type task struct {
	state     taskState
	number    identifier.RunNumber // of the latest run
	failures  int
	moves     int // runs that were stopped while the job was open
	owner     identifier.Member
	intended  identifier.BackendID // the server that seemed to have room, when sent
	backend   identifier.BackendID // the server that has started it, if one has
	avoid     []identifier.BackendID
	sentAt    time.Time // to owner
	restartAt time.Time // when orphaned
	waitUntil time.Time // when waiting: not before
}

// openJob is a job that its home answers for.
type openJob struct {
	Job
	requests  []RequestID
	arrived   time.Time
	objective time.Time
	deadline  time.Time
	tasks     []task
	open      int // tasks that have not ended
	run       identifier.JobRun
}

func (j *openJob) ref(index int) identifier.RunRef {
	return identifier.RunRef{
		Task:   identifier.TaskRef{Submission: j.ID, Index: identifier.TaskIndex(index)},
		Number: j.tasks[index].number,
		JobRun: j.run,
	}
}

// slack is how long the job may wait for room at its arrival and still end
// within its objective, as far as its estimate is right.
func (j Job) slack() time.Duration {
	return time.Duration((j.Route.Slack-1)*float64(j.Estimate)) + j.Route.Target - networkAllowance
}

// objective is the time from arrival within which the job should end.
func (j Job) objective() time.Duration {
	return time.Duration(j.Route.Slack*float64(j.Estimate)) + j.Route.Target
}
