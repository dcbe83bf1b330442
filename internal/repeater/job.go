package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// Job is an idempotent job, as a caller submits it.
type Job struct {
	ID       identifier.SubmissionID
	Route    router.Route
	Version  router.Version // of the table that contains Route
	Spec     string
	Tasks    int
	Cores    identifier.Millicores // of each task
	Memory   identifier.Mebibytes  // of each task
	Estimate time.Duration         // of each task's run time
	Budget   time.Duration         // how long the caller waits, from arrival
}

// taskState is the state of a task at its home.
type taskState uint8

const (
	taskWaiting  taskState = iota // no owner has it
	taskSent                      // an owner has it, as far as the home knows
	taskPlaced                    // a server has started it, or may have
	taskOrphaned                  // its owner is lost; its run may continue until restartAt
	taskEnded
)

// task is one task of an open job at its home.
type task struct {
	state           taskState
	runNumber       identifier.RunNumber // of the latest run
	failures        int
	returns         int  // by owners, for want of room
	overdue         bool // its owner has returned it because the objective has passed
	stoppedRuns     int  // earlier runs of the task that were stopped or lost
	owner           identifier.Member
	intendedBackend identifier.BackendID // the server that seemed to have room when the task was sent
	backend         identifier.BackendID // the server that has started it, or may have; "": none
	avoid           []identifier.BackendID
	sentAt          time.Time // when it was sent to owner
	sharedBefore    time.Time // when this VM last shared a task with owner before that
	restartAt       time.Time // when orphaned: not rerun before
	waitUntil       time.Time // when waiting: not sent to an owner before
}

// openJob is a job that its home has yet to answer.
type openJob struct {
	Job
	requests    []RequestID
	arrived     time.Time
	objectiveAt time.Time // when the job should end
	deadline    time.Time
	tasks       []task
	openTasks   int  // tasks that have not ended
	mayHaveRun  bool // a server may have started one of its tasks
	jobRun      identifier.JobRun
}

func (j *openJob) ref(index int) identifier.RunRef {
	return identifier.RunRef{
		Task:   identifier.TaskRef{Submission: j.ID, Index: identifier.TaskIndex(index)},
		Number: j.tasks[index].runNumber,
		JobRun: j.jobRun,
	}
}

// slack returns how long the job may wait for room at its arrival and still end
// within its objective, if its estimate is right. It is a duration; Route.Slack
// is a factor of the estimate.
func (j Job) slack() time.Duration {
	return time.Duration((j.Route.Slack-1)*float64(j.Estimate)) + j.Route.Target - networkAllowance
}

// objective returns the time from arrival within which the job should end.
func (j Job) objective() time.Duration {
	return time.Duration(j.Route.Slack*float64(j.Estimate)) + j.Route.Target
}
