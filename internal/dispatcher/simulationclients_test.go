package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// simRequest identifies a request to one process.
type simRequest struct {
	member  identifier.Member
	request RequestID
}

// simClient is what a client knows about its submission.
type simClient struct {
	job     declarer.Job
	attempt identifier.Attempt
	ending  declarer.Ending // complete or failed, once answered so
}

// submit sends an attempt at a submission to a VM.
func (s *simulation) submit(id identifier.SubmissionID, vm *simVM, wait bool) {
	client := s.clients[id]
	client.attempt++
	job := client.job
	job.Attempt = client.attempt
	s.lastRequest++
	s.openRequests[simRequest{vm.member, s.lastRequest}] = id
	s.deliverEvent(vm, SubmitRequested{Request: s.lastRequest, Job: job, Wait: wait})
}

// newJob adds a client with a submission of n tasks.
func (s *simulation) newJob(n int) identifier.SubmissionID {
	domain := simDomains[s.rand.IntN(len(simDomains))]
	id := identifier.SubmissionID(fmt.Sprintf("%s.%s", domain, uuidAt(s.now, s.rand)))
	job := declarer.Job{Submission: id, Team: "t", Profile: "p"}
	for range n {
		job.Tasks = append(job.Tasks, declarer.Task{RunTime: s.runTime()})
	}
	s.clients[id] = &simClient{job: job}
	s.tasksOf[id] = n
	return id
}

// uuidAt returns a random UUIDv7 with the given time.
func uuidAt(at time.Time, r *rand.Rand) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, r.Uint64()&0xfff, r.Uint64()&0xfff, r.Uint64()&0xffffffffffff)
}

func (s *simulation) cancel(id identifier.SubmissionID, vm *simVM) {
	s.faults["cancel"]++
	s.lastRequest++
	s.openRequests[simRequest{vm.member, s.lastRequest}] = id
	s.deliverEvent(vm, CancelRequested{Request: s.lastRequest, Team: "t", Submission: id})
}
