package dispatcher

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// The submission ids of the transcripts.
const (
	submission1 identifier.SubmissionID = "a.019b76da-a800-7000-8000-000000000001"
	submission2 identifier.SubmissionID = "a.019b76da-a800-7000-8000-000000000002"
	submission3 identifier.SubmissionID = "a.019b76da-a800-7000-8000-000000000003"
)

// placerWarmUp is the time after which an owner uses all its slots and lends them.
const placerWarmUp = 10 * time.Second

// transcript records the events given to one machine and the effects of each.
type transcript struct {
	machine *Machine
	begin   time.Time
	now     time.Time
	log     bytes.Buffer
	running []StartTask
}

func newTranscript() *transcript {
	p := profileparser.Default()
	p.Name = "p"
	m, now := newTestMachine(p)
	for range placerWarmUp / simTick {
		now = now.Add(simTick)
		m.Step(now, Tick{})
	}
	return &transcript{machine: m, begin: now, now: now}
}

func (tr *transcript) step(name string, e Event) {
	fmt.Fprintf(&tr.log, "%v %s\n", tr.now.Sub(tr.begin), name)
	for _, effect := range tr.machine.Step(tr.now, e) {
		if start, ok := effect.(StartTask); ok {
			tr.running = append(tr.running, start)
		}
		if line := describeEffect(effect); line != "" {
			fmt.Fprintf(&tr.log, "    %s\n", line)
		}
	}
}

func (tr *transcript) tick(d time.Duration) {
	tr.now = tr.now.Add(d)
	tr.step("tick", Tick{})
}

func (tr *transcript) submit(request RequestID, id identifier.SubmissionID, tasks int) {
	job := declarer.Job{Submission: id, Team: "t", Profile: "p", Tasks: make([]declarer.Task, tasks)}
	tr.step(fmt.Sprintf("request %d submits %s with %d tasks", request, id, tasks), SubmitRequested{Request: request, Job: job, Wait: true})
}

func (tr *transcript) cancel(request RequestID, id identifier.SubmissionID) {
	tr.step(fmt.Sprintf("request %d cancels %s", request, id), CancelRequested{Request: request, Team: "t", Submission: id})
}

// end ends the running tasks of a submission with the given outcome.
func (tr *transcript) end(id identifier.SubmissionID, outcome StartOutcome) {
	running := tr.running
	tr.running = nil
	for _, start := range running {
		if start.Ref.Submission != id {
			tr.running = append(tr.running, start)
			continue
		}
		tr.step(fmt.Sprintf("%s ends %s: %T", start.Backend, start.Ref, outcome), StartTaskFinished{Ref: start.Ref, Backend: start.Backend, Outcome: outcome})
	}
}

func describeEffect(effect Effect) string {
	switch e := effect.(type) {
	case Reply:
		return fmt.Sprintf("reply to request %d: %s", e.Request, describeStatus(e.Status))
	case StartTask:
		return fmt.Sprintf("start %s on %s", e.Ref, e.Backend)
	case StopTasks:
		refs := make([]string, len(e.Refs))
		for i, ref := range e.Refs {
			refs[i] = ref.String()
		}
		return fmt.Sprintf("stop on %s: %s", e.Backend, strings.Join(refs, " "))
	case Drained:
		return "drained"
	default:
		return "" // messages to peers and observations
	}
}

func describeStatus(status declarer.Status) string {
	switch e := status.Ending.(type) {
	case declarer.Complete:
		return fmt.Sprintf("complete, %d outputs", len(e.Outputs))
	case declarer.Failed:
		return fmt.Sprintf("failed, %s, %v", e.Cause, e.Outcomes)
	case declarer.Refused:
		return fmt.Sprintf("refused, %s", e.Cause)
	case declarer.Unverifiable:
		return fmt.Sprintf("unverifiable, %s", e.Cause)
	default:
		return fmt.Sprintf("known %v, %d of %d tasks ended", status.Known, status.EndedTasks, status.Tasks)
	}
}

// TestCancellationWave cancels three jobs within one tick. Jobs without a started
// task are reported as never started, and the stops go out in one message per
// backend server.
func TestCancellationWave(t *testing.T) {
	tr := newTranscript()
	tr.submit(1, submission1, 6)
	tr.submit(2, submission2, 8)
	tr.submit(3, submission3, 4)
	tr.cancel(4, submission3)
	tr.cancel(5, submission1)
	tr.cancel(6, submission2)
	tr.tick(5 * time.Millisecond)
	tr.end(submission1, TaskFailed{Detail: "stopped", RunTime: time.Millisecond})
	tr.end(submission2, TaskSucceeded{RunTime: time.Millisecond})
	tr.submit(7, submission1, 6)
	tr.tick(5 * time.Millisecond)
	goldie.New(t).Assert(t, "cancellationwave", tr.log.Bytes())
}

// TestShutdown checks that a shutdown waits for the active job, whose caller gets
// the whole answer.
func TestShutdown(t *testing.T) {
	tr := newTranscript()
	tr.submit(1, submission1, 3)
	tr.step("shutdown", DrainRequested{})
	tr.tick(5 * time.Millisecond)
	tr.end(submission1, TaskSucceeded{Output: []byte("{}"), RunTime: time.Millisecond})
	tr.tick(5 * time.Millisecond)
	goldie.New(t).Assert(t, "shutdown", tr.log.Bytes())
}
