package backendcaller_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/backendcaller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

// fixture is one backend server and a caller of it.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	fleet   *backendserver.Fleet
	caller  *backendcaller.Caller
	address string
}

func newFixture(t *testing.T, opts backendcaller.Options) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	opts.Caller = "vm-1"
	opts.FailureDomain = "perth-a"
	fleet := newFleet(t, backendserver.Options{Count: 1, UsageLag: 10 * time.Millisecond})
	return &fixture{t: t, ctx: ctx, fleet: fleet, caller: newCaller(t, opts), address: fleet.VMs()[0].Address}
}

func (f *fixture) setFaults(faults backendserver.Faults) {
	f.t.Helper()
	if _, err := f.fleet.SetFaults(backendserver.Selector{All: true}, faults); err != nil {
		f.t.Fatal(err)
	}
}

// startTask starts a task and returns when the server has started it.
func (f *fixture) startTask(s backendcaller.StartRequest) <-chan backendcaller.StartResult {
	f.t.Helper()
	before := f.fleet.AuditSummary().Starts
	result := make(chan backendcaller.StartResult, 1)
	go func() { result <- f.caller.Start(f.ctx, f.address, s) }()
	f.await(func() bool { return f.fleet.AuditSummary().Starts > before })
	return result
}

func (f *fixture) await(condition func() bool) {
	f.t.Helper()
	for !condition() {
		if f.ctx.Err() != nil {
			f.t.Fatal("the condition was not met in time")
		}
		time.Sleep(time.Millisecond)
	}
}

func expectResult[R backendcaller.StartResult](t *testing.T, result backendcaller.StartResult) {
	t.Helper()
	if _, ok := result.(R); !ok {
		var want R
		t.Errorf("got %#v, want a %T", result, want)
	}
}

func expectCause(t *testing.T, result backendcaller.StartResult, want backendcaller.FailureCause) {
	t.Helper()
	if failed, ok := result.(backendcaller.TaskFailed); !ok || failed.Cause != want {
		t.Errorf("got %#v, want TaskFailed by %s", result, want)
	}
}

func TestTaskOfDyingServerIsLost(t *testing.T) {
	f := newFixture(t, backendcaller.Options{LostAnswerTimeout: 50 * time.Millisecond})
	result := f.startTask(newStartRequest(0, `{"sleepMillis":60000}`))
	f.setFaults(backendserver.Faults{Dead: true})
	expectResult[backendcaller.Lost](t, <-result)
	f.setFaults(backendserver.Faults{})
	report, err := f.caller.Query(f.ctx, f.address, newStartRequest(0, "").Task, 0)
	for err != nil && f.ctx.Err() == nil {
		report, err = f.caller.Query(f.ctx, f.address, newStartRequest(0, "").Task, 0)
	}
	if report.State != backendcaller.NotFound {
		t.Errorf("the restarted server reports %s for a task from before its restart", report.State)
	}
}

func TestCutOffCallerGetsResultAfterReconnect(t *testing.T) {
	for name, faults := range map[string]backendserver.Faults{
		"server": {Cut: true},
		"caller": {CutCallers: []identifier.VMID{"vm-1"}},
		"domain": {CutFailureDomains: []identifier.FailureDomain{"perth-a"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, backendcaller.Options{PingInterval: 20 * time.Millisecond, ConnectTimeout: 50 * time.Millisecond})
			s := newStartRequest(0, `{"sleepMillis":100}`)
			result := f.startTask(s)
			f.setFaults(faults)
			f.await(func() bool { return f.fleet.AuditSummary().Running == 0 })
			select {
			case r := <-result:
				t.Fatalf("got %#v while the server can't be reached", r)
			case <-time.After(100 * time.Millisecond): // longer than the connection takes to be declared lost
			}
			f.setFaults(backendserver.Faults{})
			checkOutput(t, s, <-result)
			if got := f.fleet.AuditSummary().Starts; got != 1 {
				t.Errorf("got %d starts, want 1", got)
			}
		})
	}
}

func TestFrozenServerAnswersAfterItIsUnfrozen(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":20}`)
	result := f.startTask(s)
	f.setFaults(backendserver.Faults{Frozen: true})
	otherCaller := newCaller(t, backendcaller.Options{ConnectTimeout: 50 * time.Millisecond})
	expectResult[backendcaller.NotStarted](t, otherCaller.Start(f.ctx, f.address, newStartRequest(1, `{}`)))
	if got := f.fleet.AuditSummary(); got.Running != 1 {
		t.Errorf("got %d running, want the frozen task to be running", got.Running)
	}
	f.setFaults(backendserver.Faults{})
	checkOutput(t, s, <-result)
}

func TestLeavingServerFinishesRunningTasks(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":50}`)
	result := f.startTask(s)
	f.setFaults(backendserver.Faults{Leaving: true})
	refused := f.caller.Start(f.ctx, f.address, newStartRequest(1, `{}`))
	if got, ok := refused.(backendcaller.NotStarted); !ok || got.Reason != backendcaller.Leaving {
		t.Errorf("got %#v, want NotStarted because the server is leaving", refused)
	}
	if got := f.fleet.VMs()[0].State; got != "leaving" {
		t.Errorf("got state %s in the list", got)
	}
	checkOutput(t, s, <-result)
}

func TestFailingServerFailsEveryTask(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	f.setFaults(backendserver.Faults{Failing: true})
	expectCause(t, f.caller.Start(f.ctx, f.address, newStartRequest(0, `{"sleepMillis":60000}`)), backendcaller.Failed)
}

func TestFailingPayloadFails(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	expectCause(t, f.caller.Start(f.ctx, f.address, newStartRequest(0, `{"fail":true}`)), backendcaller.Failed)
	expectCause(t, f.caller.Start(f.ctx, f.address, newStartRequest(1, `[1]`)), backendcaller.Failed)
}

func TestStragglingServerTakesLonger(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	f.setFaults(backendserver.Faults{Straggle: 10})
	result, ok := f.caller.Start(f.ctx, f.address, newStartRequest(0, `{"sleepMillis":10}`)).(backendcaller.Succeeded)
	if !ok || result.RunTime < 100*time.Millisecond {
		t.Errorf("got %#v, want ten times the 10 ms", result)
	}
}

func TestLeaseEndsTask(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":60000}`)
	s.Lease = 20 * time.Millisecond
	expectCause(t, f.caller.Start(f.ctx, f.address, s), backendcaller.LeaseLapsed)
}

func TestStopReturnsTheStateOfEachTask(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	checkOutput(t, newStartRequest(0, `{}`), f.caller.Start(f.ctx, f.address, newStartRequest(0, `{}`)))
	running := f.startTask(newStartRequest(1, `{"sleepMillis":60000}`))
	tasks := []identifier.TaskRef{newStartRequest(0, "").Task, newStartRequest(1, "").Task, newStartRequest(2, "").Task}
	states, err := f.caller.Stop(f.ctx, f.address, tasks)
	if err != nil {
		t.Fatal(err)
	}
	want := []backendcaller.TaskState{backendcaller.Ended, backendcaller.StoppedWhileRunning, backendcaller.NeverStarted}
	if diff := cmp.Diff(want, states); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	expectCause(t, <-running, backendcaller.Stopped)
	late := f.caller.Start(f.ctx, f.address, newStartRequest(2, `{}`))
	if got, ok := late.(backendcaller.NotStarted); !ok || got.Reason != backendcaller.Cancelled {
		t.Errorf("got %#v for a task that was reported as never started", late)
	}
	counts := f.caller.MessageCounts()
	if got := counts[backendcaller.StopMessage]; got.Needed != 2 {
		t.Errorf("got %+v stop messages, want a request and an answer", got)
	}
}

func TestQueryWaitsForTheEnd(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":30}`)
	result := f.startTask(s)
	report, err := f.caller.Query(f.ctx, f.address, s.Task, time.Minute)
	if err != nil || report.State != backendcaller.Ended {
		t.Fatalf("got %+v, %v", report, err)
	}
	checkOutput(t, s, report.Result)
	checkOutput(t, s, <-result)
}

func TestThrottleAndCheckpoint(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":100}`)
	result := f.startTask(s)
	if state, err := f.caller.Throttle(f.ctx, f.address, s.Task, 0.25); err != nil || state != backendcaller.Running {
		t.Fatalf("got %s, %v", state, err)
	}
	state, progress, err := f.caller.Checkpoint(f.ctx, f.address, s.Task)
	if err != nil || state != backendcaller.Running || progress < 0 || progress >= 1 {
		t.Errorf("got %s, %v, %v", state, progress, err)
	}
	if got, ok := (<-result).(backendcaller.Succeeded); !ok || got.RunTime < 200*time.Millisecond {
		t.Errorf("got %#v, want a throttled task", got)
	}
	if state, err := f.caller.Throttle(f.ctx, f.address, s.Task, 1); err != nil || state != backendcaller.Ended {
		t.Errorf("got %s, %v after the end", state, err)
	}
}

func TestUsageReportsRunningTasks(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":60000,"memoryMebibytes":300}`)
	s.Millicores, s.Memory = 500, 100
	result := f.startTask(s)
	var usage backendcaller.Usage
	f.await(func() bool {
		var err error
		if usage, err = f.caller.Usage(f.ctx, f.address); err != nil {
			t.Fatal(err)
		}
		return usage.Running == 1
	})
	if usage.Millicores != 500 || usage.Memory != 300 || len(usage.Tasks) != 1 || usage.Slots != 8 || usage.Connections != 1 {
		t.Errorf("got %+v", usage)
	}
	if _, err := f.caller.Stop(f.ctx, f.address, []identifier.TaskRef{s.Task}); err != nil {
		t.Fatal(err)
	}
	expectCause(t, <-result, backendcaller.Stopped)
}

func TestConnectionsAboveTheLimitStartNothing(t *testing.T) {
	const limit = 3
	fleet := newFleet(t, backendserver.Options{Count: 1, Connections: limit})
	address := fleet.VMs()[0].Address
	for i := range limit + 2 {
		c := newCaller(t, backendcaller.Options{})
		result := c.Start(t.Context(), address, newStartRequest(i, `{}`))
		if i < limit {
			expectResult[backendcaller.Succeeded](t, result)
		} else {
			expectResult[backendcaller.NotStarted](t, result)
		}
	}
	if got := fleet.AuditSummary().Starts; got != limit {
		t.Errorf("got %d starts, want %d", got, limit)
	}
}

// TestConnectionsPerServerAreBounded starts tasks one after the other, so that
// each finds all earlier connections busy.
func TestConnectionsPerServerAreBounded(t *testing.T) {
	const tasks = 8
	for _, bound := range []int{1, 3} {
		f := newFixture(t, backendcaller.Options{ConnectionsPerServer: bound})
		var results []<-chan backendcaller.StartResult
		var refs []identifier.TaskRef
		for i := range tasks {
			s := newStartRequest(i, `{"sleepMillis":60000}`)
			results = append(results, f.startTask(s))
			refs = append(refs, s.Task)
		}
		if made := f.caller.MessageCounts()[backendcaller.HelloMessage].Needed / 2; made != uint64(bound) {
			t.Errorf("got %d connections, want %d", made, bound)
		}
		if _, err := f.caller.Stop(f.ctx, f.address, refs); err != nil {
			t.Fatal(err)
		}
		for _, result := range results {
			expectCause(t, <-result, backendcaller.Stopped)
		}
	}
}

func TestDuplicateStartIsAuditedAndRuns(t *testing.T) {
	fleet := newFleet(t, backendserver.Options{Count: 2})
	c := newCaller(t, backendcaller.Options{})
	s := newStartRequest(0, `{}`)
	s.Unrepeatable = true
	for _, vm := range fleet.VMs() {
		checkOutput(t, s, c.Start(t.Context(), vm.Address, s))
	}
	if got := fleet.AuditSummary(); got.Starts != 2 || got.Duplicates != 1 {
		t.Errorf("got %+v, want a duplicate", got)
	}
	records := fleet.Audit(0, 10)
	if len(records) != 2 || records[0].Duplicate || !records[1].Duplicate || !records[1].Unrepeatable {
		t.Errorf("got records %+v", records)
	}
}

func TestStopEndsDuplicatesToo(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	s := newStartRequest(0, `{"sleepMillis":60000}`)
	first, second := f.startTask(s), f.startTask(s)
	if _, err := f.caller.Stop(f.ctx, f.address, []identifier.TaskRef{s.Task}); err != nil {
		t.Fatal(err)
	}
	expectCause(t, <-first, backendcaller.Stopped)
	expectCause(t, <-second, backendcaller.Stopped)
}

func TestCloseEndsStartsInProgress(t *testing.T) {
	f := newFixture(t, backendcaller.Options{})
	result := f.startTask(newStartRequest(0, `{"sleepMillis":60000}`))
	f.caller.Close()
	expectResult[backendcaller.Lost](t, <-result)
	expectResult[backendcaller.NotStarted](t, f.caller.Start(f.ctx, f.address, newStartRequest(1, `{}`)))
}
