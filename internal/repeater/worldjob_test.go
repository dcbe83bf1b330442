package repeater

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// worldJob is a job of a caller, who sends it again as the platform's callers do.
type worldJob struct {
	w        *world
	id       identifier.SubmissionID
	tasks    int
	cores    identifier.Millicores
	length   time.Duration
	sends    int
	rejected int
	startsAt int // starts of its tasks
	done     bool
	outcome  string
	first    time.Time
	firstVM  int
	ended    time.Time
}

// worldAttempt is one sending of a job.
type worldAttempt struct {
	job  *worldJob
	vm   *worldVM
	life int
	id   RequestID
	over bool
}

func (w *world) jobOf(t identifier.TaskRef) *worldJob {
	for _, j := range w.jobs {
		if j.id == t.Submission {
			return j
		}
	}
	panic("a task that no caller sent: " + t.String())
}

// submitJobs lets callers send jobs during a time.
func (w *world) submitJobs(length time.Duration) {
	longest := w.cfg.longest
	if longest == 0 {
		longest = 1200 * time.Millisecond
	}
	for i := range w.cfg.jobs {
		j := &worldJob{
			w: w, id: identifier.SubmissionID(fmt.Sprintf("%016x", i+1)),
			tasks: 1 + w.rand.IntN(6), cores: identifier.Millicores(10000 + w.rand.IntN(8000)),
			length: w.between(30*time.Millisecond, longest),
		}
		w.jobs = append(w.jobs, j)
		w.after(w.between(2*time.Second, length), func() {
			j.first = w.now
			j.send()
		})
	}
}

const maxSends = 4

// send hands the job to any VM.
func (j *worldJob) send() {
	if j.done || j.sends >= maxSends {
		return
	}
	j.sends++
	vm := j.w.vms[j.w.rand.IntN(len(j.w.vms))]
	if j.sends == 1 {
		j.firstVM = vm.index
	}
	a := &worldAttempt{job: j, vm: vm, life: vm.life}
	if vm.machine == nil {
		a.broken()
		return
	}
	vm.lastReq++
	a.id = vm.lastReq
	vm.requests[a.id] = a
	vm.step(JobSubmitted{Request: a.id, Job: Job{
		ID: j.id, Route: worldRoute(), Version: 1, Spec: "spec", Tasks: j.tasks, Cores: j.cores, Memory: 64,
		Estimate: time.Duration(float64(j.length) * (0.7 + 0.6*j.w.rand.Float64())), Budget: j.budget(),
	}})
	j.w.after(j.budget()+100*time.Millisecond, func() {
		if a.over {
			return
		}
		// The caller hangs up; a VM that lives sees it.
		if vm.life == a.life && vm.machine != nil {
			delete(vm.requests, a.id)
			vm.step(RequestAbandoned{Request: a.id})
		}
		a.broken()
	})
}

func (j *worldJob) objective() time.Duration {
	return time.Duration(1.6*float64(j.length)) + 60*time.Millisecond
}

func (j *worldJob) onTime() bool {
	return j.outcome == "completed" && j.ended.Sub(j.first) <= j.objective()
}

// budget is how long the caller waits.
func (j *worldJob) budget() time.Duration { return worldPatience + 3*j.objective() }

// broken ends an attempt without an answer.
func (a *worldAttempt) broken() {
	if a.over {
		return
	}
	a.over = true
	a.job.w.after(worldResend, a.job.send)
}

func (a *worldAttempt) answered(o Outcome) {
	if a.over {
		a.job.w.violated("job %s is answered twice", a.job.id)
		return
	}
	a.over = true
	j := a.job
	switch o.(type) {
	case Completed, Failed:
		j.done, j.outcome, j.ended = true, OutcomeName(o), j.w.now
	case Refused:
		j.rejected++
		j.done, j.outcome, j.ended = true, "refused", j.w.now
		if j.rejected == j.sends && j.startsAt > 0 {
			j.w.violated("job %s was refused each time, and has run", j.id)
		}
	case Lost, TimedOut:
		j.w.after(worldResend, j.send)
	}
}

// started checks a start against all other servers.
func (w *world) started(at *worldServer, r *worldRun) {
	j := w.jobOf(r.ref.Task)
	j.startsAt++
	if w.verbose {
		w.note("  %s starts %v", at.ID, r.ref)
	}
	for _, s := range w.servers {
		for _, other := range s.runs {
			if other != r && other.ref.Task == r.ref.Task && !s.down {
				w.violated("task %v runs as %d on %s and as %d on %s", r.ref.Task, other.ref.Number, s.ID, r.ref.Number, at.ID)
			}
		}
	}
	if j.rejected > 0 && j.rejected == j.sends {
		w.violated("job %s starts after it was refused each time", j.id)
	}
}
