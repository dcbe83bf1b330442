package systemrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/uuid"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const testTimeout = 2 * time.Minute

func startSystem(ctx context.Context, t *testing.T) *System {
	t.Helper()
	profile := profileparser.Default()
	profile.Name = "p"
	s, err := Start(Options{
		FailureDomains: []identifier.FailureDomain{"a", "b"},
		VMsPerDomain:   2,
		BackendServers: 4,
		SlotsPerServer: 8,
		Profiles:       []profileparser.Profile{profile},
		Logger:         log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := s.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return s
}

// submitterTo returns a client of one entry VM.
func submitterTo(ctx context.Context, t *testing.T, s *System, vm identifier.VMID) *jobsubmitter.Submitter {
	t.Helper()
	c, err := jobsubmitter.New(ctx, jobsubmitter.Options{Addresses: []string{s.CallerAddresses()[vm]}, Token: "t", Attempts: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// newJob returns a job whose id names a failure domain and whose tasks sleep.
func newJob(t *testing.T, domain identifier.FailureDomain, tasks int, sleep time.Duration) jobsubmitter.Submission {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	submission := jobsubmitter.Submission{
		ID:      identifier.SubmissionID(fmt.Sprintf("%s.%s", domain, id)),
		Profile: "p",
	}
	for range tasks {
		submission.Tasks = append(submission.Tasks, jobsubmitter.Task{
			Payload: json.RawMessage(fmt.Sprintf(`{"sleepMillis":%d}`, sleep.Milliseconds())),
		})
	}
	return submission
}

// submitUntil resubmits a job until done returns true for its ending.
func submitUntil(ctx context.Context, t *testing.T, c *jobsubmitter.Submitter, submission jobsubmitter.Submission, done func(declarer.Ending) bool) {
	t.Helper()
	for ctx.Err() == nil {
		answer, err := c.Submit(ctx, submission)
		var unanswered *jobsubmitter.UnansweredError
		if err != nil && !errors.As(err, &unanswered) {
			t.Fatal(err)
		}
		if err == nil && done(answer.Ending) {
			return
		}
		submission.FirstAttempt++
	}
	t.Fatal(ctx.Err())
}

func isComplete(e declarer.Ending) bool     { _, ok := e.(declarer.Complete); return ok }
func isUnverifiable(e declarer.Ending) bool { _, ok := e.(declarer.Unverifiable); return ok }

// TestPartition checks that during a network partition an entry VM still serves
// the job ids of its own failure domain and answers unverifiable for those of the
// other, and that it serves these again once the links are restored.
func TestPartition(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s := startSystem(ctx, t)
	a := submitterTo(ctx, t, s, "a-1")
	submitUntil(ctx, t, a, newJob(t, "b", 4, 10*time.Millisecond), isComplete)
	s.CutLinks("a", "b")
	unreachable := newJob(t, "b", 4, 10*time.Millisecond)
	submitUntil(ctx, t, a, unreachable, isUnverifiable)
	submitUntil(ctx, t, a, newJob(t, "a", 4, 10*time.Millisecond), isComplete)
	s.RestoreLinks()
	submitUntil(ctx, t, a, unreachable, isComplete)
	checkNoDuplicateStarts(t, s)
}

// TestReplacedVM replaces every entry VM, one after the other, while it runs a job
// that has not ended when the shutdown begins. The job must complete, and its
// answer must be available on the restarted VM.
func TestReplacedVM(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s := startSystem(ctx, t)
	for _, vm := range []identifier.VMID{"a-1", "a-2", "b-1", "b-2"} {
		domain := identifier.FailureDomain(vm[:1])
		c := submitterTo(ctx, t, s, vm)
		ended := make(chan declarer.Ending, 1)
		running := newJob(t, domain, 4, 300*time.Millisecond)
		go func() {
			answer, err := c.Submit(ctx, running)
			if err != nil {
				t.Error(err)
			}
			ended <- answer.Ending
		}()
		for s.Fleet().AuditSummary().Running == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if err := s.StopVM(ctx, vm); err != nil {
			t.Fatal(err)
		}
		if e := <-ended; !isComplete(e) {
			t.Errorf("%s was replaced: the running job ended as %#v, want complete", vm, e)
		}
		if err := s.StartVM(vm, domain); err != nil {
			t.Fatal(err)
		}
		if err := s.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		restarted := submitterTo(ctx, t, s, vm)
		running.FirstAttempt = 2
		submitUntil(ctx, t, restarted, running, isComplete) // the stored answer, from a peer
	}
	checkNoDuplicateStarts(t, s)
}

// checkNoDuplicateStarts checks that no task started twice on the backend servers.
func checkNoDuplicateStarts(t *testing.T, s *System) {
	t.Helper()
	if n := s.Fleet().AuditSummary().Duplicates; n != 0 {
		t.Errorf("%d tasks started twice", n)
	}
}
