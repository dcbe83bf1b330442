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

// The submission ids of the sessions.
const (
	session1 identifier.SubmissionID = "a.019b76da-a800-7000-8000-000000000001"
	session2 identifier.SubmissionID = "a.019b76da-a800-7000-8000-000000000002"
	session3 identifier.SubmissionID = "a.019b76da-a800-7000-8000-000000000003"
)

// warmUp is the time after which an owner lends and uses all its slots.
const warmUp = 10 * time.Second

// session writes the events of one machine and the effects that follow.
type session struct {
	machine *Machine
	begin   time.Time
	now     time.Time
	log     bytes.Buffer
	running []StartTask
}

func newSession() *session {
	p := profileparser.Default()
	p.Name = "p"
	m, now := checkMachine(p)
	for range warmUp / worldTick {
		now = now.Add(worldTick)
		m.Step(now, Tick{})
	}
	return &session{machine: m, begin: now, now: now}
}

func (s *session) step(name string, e Event) {
	fmt.Fprintf(&s.log, "%v %s\n", s.now.Sub(s.begin), name)
	for _, effect := range s.machine.Step(s.now, e) {
		if start, ok := effect.(StartTask); ok {
			s.running = append(s.running, start)
		}
		if line := describeEffect(effect); line != "" {
			fmt.Fprintf(&s.log, "    %s\n", line)
		}
	}
}

func (s *session) tick(d time.Duration) {
	s.now = s.now.Add(d)
	s.step("tick", Tick{})
}

func (s *session) submit(request RequestID, id identifier.SubmissionID, tasks int) {
	job := declarer.Job{Submission: id, Team: "t", Profile: "p", Tasks: make([]declarer.Task, tasks)}
	s.step(fmt.Sprintf("request %d submits %s with %d tasks", request, id, tasks), SubmitAsked{Request: request, Job: job, Wait: true})
}

func (s *session) cancel(request RequestID, id identifier.SubmissionID) {
	s.step(fmt.Sprintf("request %d cancels %s", request, id), CancelAsked{Request: request, Team: "t", Submission: id})
}

// end ends the running tasks of a submission.
func (s *session) end(id identifier.SubmissionID, outcome StartOutcome) {
	running := s.running
	s.running = nil
	for _, start := range running {
		if start.Ref.Submission != id {
			s.running = append(s.running, start)
			continue
		}
		s.step(fmt.Sprintf("%s ends %s: %T", start.Backend, start.Ref, outcome), StartEnded{Ref: start.Ref, Backend: start.Backend, Outcome: outcome})
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
		return fmt.Sprintf("known %v, %d of %d tasks ended", status.Known, status.Ended, status.Tasks)
	}
}

// TestCancellationWave cancels three jobs in one tick: one has only queued
// tasks, and the stops go in one message a backend server.
func TestCancellationWave(t *testing.T) {
	s := newSession()
	s.submit(1, session1, 6)
	s.submit(2, session2, 8)
	s.submit(3, session3, 4)
	s.cancel(4, session3)
	s.cancel(5, session1)
	s.cancel(6, session2)
	s.tick(5 * time.Millisecond)
	s.end(session1, TaskFailed{Detail: "stopped", RunTime: time.Millisecond})
	s.end(session2, TaskSucceeded{RunTime: time.Millisecond})
	s.submit(7, session1, 6)
	s.tick(5 * time.Millisecond)
	goldie.New(t).Assert(t, "cancellationwave", s.log.Bytes())
}

// TestShutdown holds that a shutdown waits for the running job, whose caller
// gets the whole answer.
func TestShutdown(t *testing.T) {
	s := newSession()
	s.submit(1, session1, 3)
	s.step("shutdown", DrainAsked{})
	s.tick(5 * time.Millisecond)
	s.end(session1, TaskSucceeded{Output: []byte("{}"), RunTime: time.Millisecond})
	s.tick(5 * time.Millisecond)
	goldie.New(t).Assert(t, "shutdown", s.log.Bytes())
}
