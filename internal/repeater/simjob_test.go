package repeater

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// simJob is a caller's job. The caller submits it again as the platform's
// callers do.
type simJob struct {
	sim         *simulation
	id          identifier.SubmissionID
	tasks       int
	cores       identifier.Millicores
	runTime     time.Duration
	attempts    int
	refusals    int
	starts      int                           // of its tasks, at servers
	crashing    map[identifier.TaskIndex]bool // tasks that crash each server that starts them
	estimate    time.Duration                 // as the caller declares it; 0: about runTime
	patience    time.Duration                 // how long the caller waits beyond three times the objective
	crashes     map[identifier.TaskIndex]int  // of servers while they had a run of the task
	taskStarts  map[identifier.TaskIndex]int  // starts of each task, at servers
	done        bool
	outcome     string
	firstSentAt time.Time
	firstVM     int
	sticky      bool // its first attempt goes to firstVM
	route       int  // its index in simConfig.routes, if there are any
	endedAt     time.Time
}

// simAttempt is one submission of a job.
type simAttempt struct {
	job     *simJob
	vm      *simVM
	process int
	request RequestID
	ended   bool
}

func (sim *simulation) jobOf(t identifier.TaskRef) *simJob {
	if len(sim.jobsByID) < len(sim.jobs) {
		sim.jobsByID = make(map[identifier.SubmissionID]*simJob, len(sim.jobs))
		for _, j := range sim.jobs {
			sim.jobsByID[j.id] = j
		}
	}
	if j := sim.jobsByID[t.Submission]; j != nil {
		return j
	}
	panic("no caller submitted task " + t.String())
}

// submitJobs schedules the submissions of the configured number of jobs.
func (sim *simulation) submitJobs(length time.Duration) {
	maxRunTime := sim.cfg.maxRunTime
	if maxRunTime == 0 {
		maxRunTime = 1200 * time.Millisecond
	}
	for i := range sim.cfg.jobs {
		j := &simJob{
			sim: sim, id: identifier.SubmissionID(fmt.Sprintf("%016x", i+1)),
			tasks: 1 + sim.rand.IntN(6), cores: identifier.Millicores(10000 + sim.rand.IntN(8000)),
			runTime: sim.randomDuration(30*time.Millisecond, maxRunTime), patience: simPatience,
			crashing: make(map[identifier.TaskIndex]bool), crashes: make(map[identifier.TaskIndex]int), taskStarts: make(map[identifier.TaskIndex]int),
		}
		sim.jobs = append(sim.jobs, j)
		sim.schedule(sim.randomDuration(2*time.Second, length), func() {
			j.firstSentAt = sim.now
			j.send()
		})
	}
}

const maxAttempts = 4

// send submits the job to a random VM.
func (j *simJob) send() {
	if j.done || j.attempts >= maxAttempts {
		return
	}
	j.attempts++
	vm := j.sim.vms[j.sim.rand.IntN(len(j.sim.vms))]
	if j.sticky && j.attempts == 1 {
		vm = j.sim.vms[j.firstVM]
	}
	if j.attempts == 1 {
		j.firstVM = vm.index
	}
	a := &simAttempt{job: j, vm: vm, process: vm.process}
	if vm.machine == nil {
		a.endUnanswered()
		return
	}
	vm.lastRequest++
	a.request = vm.lastRequest
	vm.requests[a.request] = a
	estimate := time.Duration(float64(j.runTime) * (0.7 + 0.6*j.sim.rand.Float64()))
	if j.estimate > 0 {
		estimate = j.estimate
	}
	vm.step(JobSubmitted{Request: a.request, Job: Job{
		ID: j.id, Route: j.routeOf(), Version: 1, Spec: "spec", Tasks: j.tasks, Cores: j.cores, Memory: 64, Estimate: estimate, Budget: j.budget(),
	}})
	j.sim.schedule(j.budget()+100*time.Millisecond, func() {
		if a.ended {
			return
		}
		// The caller disconnects; a VM that is alive notices.
		if vm.process == a.process && vm.machine != nil {
			delete(vm.requests, a.request)
			vm.step(RequestAbandoned{Request: a.request})
		}
		a.endUnanswered()
	})
}

func (j *simJob) routeOf() router.Route {
	if len(j.sim.cfg.routes) == 0 {
		return simRoute()
	}
	return j.sim.cfg.routes[j.route]
}

func (j *simJob) objective() time.Duration {
	return time.Duration(1.6*float64(j.runTime)) + 60*time.Millisecond
}

func (j *simJob) onTime() bool {
	return j.outcome == "completed" && j.endedAt.Sub(j.firstSentAt) <= j.objective()
}

// budget returns how long the caller waits.
func (j *simJob) budget() time.Duration { return j.patience + 3*j.objective() }

// endUnanswered ends an attempt without an answer, and schedules the next.
func (a *simAttempt) endUnanswered() {
	if a.ended {
		return
	}
	a.ended = true
	a.job.sim.schedule(simResendDelay, a.job.send)
}

func (a *simAttempt) handleAnswer(o Outcome) {
	if a.ended {
		a.job.sim.recordViolation("a request of job %s was answered twice", a.job.id)
		return
	}
	a.ended = true
	j := a.job
	switch o.(type) {
	case Completed, Failed:
		j.done, j.outcome, j.endedAt = true, OutcomeName(o), j.sim.now
	case Refused:
		j.refusals++
		j.done, j.outcome, j.endedAt = true, "refused", j.sim.now
		if j.refusals == j.attempts && j.starts > 0 {
			j.sim.recordViolation("job %s was refused each time, but has run", j.id)
		}
	case Lost, TimedOut:
		j.sim.schedule(simResendDelay, j.send)
	}
}

// checkStart checks that no other server runs the same task, and that the job
// was not refused.
func (sim *simulation) checkStart(at *simServer, r *simRun) {
	j := sim.jobOf(r.ref.Task)
	j.starts++
	j.taskStarts[r.ref.Task.Index]++
	if sim.verbose {
		sim.tracef("  %s starts %v", at.ID, r.ref)
	}
	for _, s := range sim.servers {
		for _, other := range s.runs {
			if other != r && other.ref.Task == r.ref.Task && !s.down {
				sim.recordViolation("task %v runs as %d on %s and as %d on %s", r.ref.Task, other.ref.Number, s.ID, r.ref.Number, at.ID)
			}
		}
	}
	if j.refusals > 0 && j.refusals == j.attempts {
		sim.recordViolation("job %s starts after it was refused each time", j.id)
	}
}
