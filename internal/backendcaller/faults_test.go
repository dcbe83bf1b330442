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

// bench is one backend server and a client of it.
type bench struct {
	t       *testing.T
	ctx     context.Context
	fleet   *backendserver.Fleet
	caller  *backendcaller.Caller
	address string
}

func newBench(t *testing.T, opts backendcaller.Options) *bench {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	opts.Caller = "vm-1"
	opts.FailureDomain = "perth-a"
	fleet := newFleet(t, backendserver.Options{Count: 1, UsageLag: 10 * time.Millisecond})
	return &bench{t: t, ctx: ctx, fleet: fleet, caller: newCaller(t, opts), address: fleet.VMs()[0].Address}
}

func (b *bench) setFaults(faults backendserver.Faults) {
	b.t.Helper()
	if _, err := b.fleet.SetFaults(backendserver.Selector{All: true}, faults); err != nil {
		b.t.Fatal(err)
	}
}

// begin starts a task and returns once the server has started it.
func (b *bench) begin(s backendcaller.StartRequest) <-chan backendcaller.StartResult {
	b.t.Helper()
	before := b.fleet.AuditSummary().Starts
	result := make(chan backendcaller.StartResult, 1)
	go func() { result <- b.caller.Start(b.ctx, b.address, s) }()
	b.await(func() bool { return b.fleet.AuditSummary().Starts > before })
	return result
}

func (b *bench) await(condition func() bool) {
	b.t.Helper()
	for !condition() {
		if b.ctx.Err() != nil {
			b.t.Fatal("the condition did not come to hold")
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
	b := newBench(t, backendcaller.Options{SettleTimeout: 50 * time.Millisecond})
	result := b.begin(startOf(0, `{"sleepMillis":60000}`))
	b.setFaults(backendserver.Faults{Dead: true})
	expectResult[backendcaller.Lost](t, <-result)
	b.setFaults(backendserver.Faults{})
	report, err := b.caller.Query(b.ctx, b.address, startOf(0, "").Task, 0)
	for err != nil && b.ctx.Err() == nil {
		report, err = b.caller.Query(b.ctx, b.address, startOf(0, "").Task, 0)
	}
	if report.State != backendcaller.NotFound {
		t.Errorf("the revived server says %s of a task of its former life", report.State)
	}
}

func TestCutOffCallerSettlesAfterHealing(t *testing.T) {
	for name, faults := range map[string]backendserver.Faults{
		"server": {Cut: true},
		"caller": {CutCallers: []identifier.VMID{"vm-1"}},
		"domain": {CutFailureDomains: []identifier.FailureDomain{"perth-a"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, backendcaller.Options{PingInterval: 20 * time.Millisecond, ConnectTimeout: 50 * time.Millisecond})
			s := startOf(0, `{"sleepMillis":100}`)
			result := b.begin(s)
			b.setFaults(faults)
			b.await(func() bool { return b.fleet.AuditSummary().Running == 0 })
			select {
			case r := <-result:
				t.Fatalf("got %#v across the cut", r)
			case <-time.After(100 * time.Millisecond): // long enough for the connection to be given up
			}
			b.setFaults(backendserver.Faults{})
			checkOutput(t, s, <-result)
			if got := b.fleet.AuditSummary().Starts; got != 1 {
				t.Errorf("got %d starts, want 1", got)
			}
		})
	}
}

func TestFrozenServerAnswersNothingUntilItThaws(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":20}`)
	result := b.begin(s)
	b.setFaults(backendserver.Faults{Frozen: true})
	stranger := newCaller(t, backendcaller.Options{ConnectTimeout: 50 * time.Millisecond})
	expectResult[backendcaller.NotStarted](t, stranger.Start(b.ctx, b.address, startOf(1, `{}`)))
	if got := b.fleet.AuditSummary(); got.Running != 1 {
		t.Errorf("got %d running, want the task to stand still", got.Running)
	}
	b.setFaults(backendserver.Faults{})
	checkOutput(t, s, <-result)
}

func TestLeavingServerEndsWhatRuns(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":50}`)
	result := b.begin(s)
	b.setFaults(backendserver.Faults{Leaving: true})
	refused := b.caller.Start(b.ctx, b.address, startOf(1, `{}`))
	if got, ok := refused.(backendcaller.NotStarted); !ok || got.Reason != backendcaller.Leaving {
		t.Errorf("got %#v, want NotStarted since the server leaves", refused)
	}
	if got := b.fleet.VMs()[0].State; got != "leaving" {
		t.Errorf("got state %s in the list", got)
	}
	checkOutput(t, s, <-result)
}

func TestFailingServerFailsEveryTask(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	b.setFaults(backendserver.Faults{Failing: true})
	expectCause(t, b.caller.Start(b.ctx, b.address, startOf(0, `{"sleepMillis":60000}`)), backendcaller.FailedItself)
}

func TestFailingPayloadFails(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	expectCause(t, b.caller.Start(b.ctx, b.address, startOf(0, `{"fail":true}`)), backendcaller.FailedItself)
	expectCause(t, b.caller.Start(b.ctx, b.address, startOf(1, `[1]`)), backendcaller.FailedItself)
}

func TestStragglingServerTakesLonger(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	b.setFaults(backendserver.Faults{Straggle: 10})
	result, ok := b.caller.Start(b.ctx, b.address, startOf(0, `{"sleepMillis":10}`)).(backendcaller.Succeeded)
	if !ok || result.RunTime < 100*time.Millisecond {
		t.Errorf("got %#v, want ten times the 10 ms", result)
	}
}

func TestLeaseEndsTask(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":60000}`)
	s.Lease = 20 * time.Millisecond
	expectCause(t, b.caller.Start(b.ctx, b.address, s), backendcaller.LeaseLapsed)
}

func TestStopTellsTheStateOfEachTask(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	checkOutput(t, startOf(0, `{}`), b.caller.Start(b.ctx, b.address, startOf(0, `{}`)))
	running := b.begin(startOf(1, `{"sleepMillis":60000}`))
	tasks := []identifier.TaskRef{startOf(0, "").Task, startOf(1, "").Task, startOf(2, "").Task}
	states, err := b.caller.Stop(b.ctx, b.address, tasks)
	if err != nil {
		t.Fatal(err)
	}
	want := []backendcaller.TaskState{backendcaller.Ended, backendcaller.StoppedNow, backendcaller.NeverStarted}
	if diff := cmp.Diff(want, states); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	expectCause(t, <-running, backendcaller.Stopped)
	late := b.caller.Start(b.ctx, b.address, startOf(2, `{}`))
	if got, ok := late.(backendcaller.NotStarted); !ok || got.Reason != backendcaller.Cancelled {
		t.Errorf("got %#v for a task that was said to be never started", late)
	}
	counts := b.caller.Messages()
	if got := counts[backendcaller.StopMessage]; got.Needed != 2 {
		t.Errorf("got %+v messages to stop, want a request and an answer", got)
	}
}

func TestQueryWaitsForTheEnd(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":30}`)
	result := b.begin(s)
	report, err := b.caller.Query(b.ctx, b.address, s.Task, time.Minute)
	if err != nil || report.State != backendcaller.Ended {
		t.Fatalf("got %+v, %v", report, err)
	}
	checkOutput(t, s, report.Result)
	checkOutput(t, s, <-result)
}

func TestThrottleAndCheckpoint(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":100}`)
	result := b.begin(s)
	if state, err := b.caller.Throttle(b.ctx, b.address, s.Task, 0.25); err != nil || state != backendcaller.Running {
		t.Fatalf("got %s, %v", state, err)
	}
	state, progress, err := b.caller.Checkpoint(b.ctx, b.address, s.Task)
	if err != nil || state != backendcaller.Running || progress < 0 || progress >= 1 {
		t.Errorf("got %s, %v, %v", state, progress, err)
	}
	if got, ok := (<-result).(backendcaller.Succeeded); !ok || got.RunTime < 200*time.Millisecond {
		t.Errorf("got %#v, want a throttled task", got)
	}
	if state, err := b.caller.Throttle(b.ctx, b.address, s.Task, 1); err != nil || state != backendcaller.Ended {
		t.Errorf("got %s, %v after the end", state, err)
	}
}

func TestUsageReportsWhatRuns(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":60000,"memoryMebibytes":300}`)
	s.Millicores, s.Memory = 500, 100
	result := b.begin(s)
	var usage backendcaller.Usage
	b.await(func() bool {
		var err error
		if usage, err = b.caller.Usage(b.ctx, b.address); err != nil {
			t.Fatal(err)
		}
		return usage.Running == 1
	})
	if usage.Millicores != 500 || usage.Memory != 300 || len(usage.Tasks) != 1 || usage.Slots != 8 || usage.Connections != 1 {
		t.Errorf("got %+v", usage)
	}
	if _, err := b.caller.Stop(b.ctx, b.address, []identifier.TaskRef{s.Task}); err != nil {
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
		result := c.Start(t.Context(), address, startOf(i, `{}`))
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
// each finds the connections before it busy.
func TestConnectionsPerServerAreBounded(t *testing.T) {
	const tasks = 8
	for _, bound := range []int{1, 3} {
		b := newBench(t, backendcaller.Options{ConnectionsPerServer: bound})
		var results []<-chan backendcaller.StartResult
		var refs []identifier.TaskRef
		for i := range tasks {
			s := startOf(i, `{"sleepMillis":60000}`)
			results = append(results, b.begin(s))
			refs = append(refs, s.Task)
		}
		if made := b.caller.Messages()[backendcaller.HelloMessage].Needed / 2; made != uint64(bound) {
			t.Errorf("got %d connections, want %d", made, bound)
		}
		if _, err := b.caller.Stop(b.ctx, b.address, refs); err != nil {
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
	s := startOf(0, `{}`)
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
	b := newBench(t, backendcaller.Options{})
	s := startOf(0, `{"sleepMillis":60000}`)
	first, second := b.begin(s), b.begin(s)
	if _, err := b.caller.Stop(b.ctx, b.address, []identifier.TaskRef{s.Task}); err != nil {
		t.Fatal(err)
	}
	expectCause(t, <-first, backendcaller.Stopped)
	expectCause(t, <-second, backendcaller.Stopped)
}

func TestCloseEndsStartsInProgress(t *testing.T) {
	b := newBench(t, backendcaller.Options{})
	result := b.begin(startOf(0, `{"sleepMillis":60000}`))
	b.caller.Close()
	expectResult[backendcaller.Lost](t, <-result)
	expectResult[backendcaller.NotStarted](t, b.caller.Start(b.ctx, b.address, startOf(1, `{}`)))
}
