package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// worldRequest is a request at one process.
type worldRequest struct {
	member  identifier.Member
	request RequestID
}

// worldClient is what a client knows of its submission.
type worldClient struct {
	job     declarer.Job
	attempt identifier.Attempt
	ending  declarer.Ending // complete or failed, once told
}

// submit sends an attempt at a submission to a VM.
func (w *world) submit(id identifier.SubmissionID, vm *worldVM, wait bool) {
	client := w.clients[id]
	client.attempt++
	job := client.job
	job.Attempt = client.attempt
	w.last++
	w.asked[worldRequest{vm.member, w.last}] = id
	w.give(vm, SubmitAsked{Request: w.last, Job: job, Wait: wait})
}

// newJob makes a submission.
func (w *world) newJob(n int) identifier.SubmissionID {
	domain := worldDomains[w.rand.IntN(len(worldDomains))]
	id := identifier.SubmissionID(fmt.Sprintf("%s.%s", domain, uuidAt(w.now, w.rand)))
	job := declarer.Job{Submission: id, Team: "t", Profile: "p"}
	for range n {
		job.Tasks = append(job.Tasks, declarer.Task{RunTime: w.runTime()})
	}
	w.clients[id] = &worldClient{job: job}
	w.tasksOf[id] = n
	return id
}

// uuidAt returns a UUIDv7 of a time.
func uuidAt(at time.Time, r *rand.Rand) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, r.Uint64()&0xfff, r.Uint64()&0xfff, r.Uint64()&0xffffffffffff)
}

func (w *world) cancel(id identifier.SubmissionID, vm *worldVM) {
	w.faults["cancel"]++
	w.last++
	w.asked[worldRequest{vm.member, w.last}] = id
	w.give(vm, CancelAsked{Request: w.last, Team: "t", Submission: id})
}
