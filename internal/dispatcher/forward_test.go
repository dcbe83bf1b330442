package dispatcher

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// TestRefusalAfterTwoCopies guards against a job that starts after its caller was
// told that it was refused: its request went to two peers and the second refuses,
// but the first, which is paused, may still forward its copy.
func TestRefusalAfterTwoCopies(t *testing.T) {
	m, now := newTestMachine(profileparser.Default())
	job := declarer.Job{
		Submission: "b.019b76da-a800-7000-8000-000000000001",
		Team:       "t",
		Profile:    "p",
		Tasks:      make([]declarer.Task, 1),
	}
	first := sentJob(t, m.Step(now, SubmitRequested{Request: 1, Job: job, Wait: true}))
	m.Step(now, PeerDown{Member: first.To})
	second := identifier.Member{VM: "second", Incarnation: 1}
	m.Step(now, PeerUp{Member: second, Domain: "b"})
	now = now.Add(time.Second)
	again := sentJob(t, m.Step(now, Tick{}))
	if again.To != second {
		t.Fatalf("the second copy went to %v", again.To)
	}
	number := again.Message.(peermessenger.SubmitJob).Number
	refused := declarer.Status{Known: true, Ending: declarer.Refused{Cause: declarer.QueueFull, RetryAfter: 3 * time.Second}}
	got := firstReply(m.Step(now, PeerMessage{From: second, Message: peermessenger.NewJobReply(number, refused)}))
	unverifiable, ok := got.Ending.(declarer.Unverifiable)
	if !ok || unverifiable.RetryAfter != 3*time.Second {
		t.Errorf("got %+v, want unverifiable with the refusal's retry delay", got)
	}
}

// sentJob returns the only SubmitJob among effects.
func sentJob(t *testing.T, effects []Effect) Send {
	t.Helper()
	for _, effect := range effects {
		if s, ok := effect.(Send); ok {
			if _, ok := s.Message.(peermessenger.SubmitJob); ok {
				return s
			}
		}
	}
	t.Fatalf("no job was sent: %v", effects)
	return Send{}
}

// TestUnreachableHomeIsObserved checks that a job whose home can't be reached
// counts against the error budget of its profile.
func TestUnreachableHomeIsObserved(t *testing.T) {
	p := profileparser.Default()
	p.Name = "p"
	m, now := newTestMachine(p)
	m.Step(now, PeerDown{Member: identifier.Member{VM: "other", Incarnation: 1}})
	job := declarer.Job{Submission: "b.019b76da-a800-7000-8000-000000000001", Team: "t", Profile: "p", Tasks: make([]declarer.Task, 1)}
	for _, effect := range m.Step(now, SubmitRequested{Request: 1, Job: job, Wait: true}) {
		if o, ok := effect.(JobEnded); ok && o.Objective == p.Objective && m.opts.Counters.JobsUnverifiable.Load() == 1 {
			return
		}
	}
	t.Error("the job was not reported as ended and unverifiable")
}
