package backendcaller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/backendcaller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

const testTimeout = 30 * time.Second

func newFleet(t testing.TB, opts backendserver.Options) *backendserver.Fleet {
	t.Helper()
	fleet, err := backendserver.NewFleet(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	return fleet
}

// newCaller returns a caller with timeouts that suffice on a busy machine, except
// for those that the options set.
func newCaller(t testing.TB, opts backendcaller.Options) *backendcaller.Caller {
	t.Helper()
	for _, timeout := range []*time.Duration{&opts.ConnectTimeout, &opts.RequestTimeout, &opts.LostAnswerTimeout} {
		if *timeout == 0 {
			*timeout = testTimeout
		}
	}
	c, err := backendcaller.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func newStartRequest(index int, payload string) backendcaller.StartRequest {
	return backendcaller.StartRequest{
		Task:    identifier.TaskRef{Submission: "a.1", Index: identifier.TaskIndex(index)},
		Holder:  "vm-1",
		Lease:   10 * time.Second,
		Payload: []byte(payload),
	}
}

func checkOutput(t testing.TB, s backendcaller.StartRequest, result backendcaller.StartResult) {
	t.Helper()
	succeeded, ok := result.(backendcaller.Succeeded)
	if !ok {
		t.Fatalf("task %s: got %#v, want Succeeded", s.Task, result)
	}
	var output struct {
		Checksum string          `json:"checksum"`
		Output   json.RawMessage `json:"output"`
	}
	if err := json.Unmarshal(succeeded.Output, &output); err != nil {
		t.Fatal(err)
	}
	if want := backendserver.Checksum(s.Task, s.Payload); output.Checksum != want {
		t.Errorf("task %s: got checksum %s, want %s", s.Task, output.Checksum, want)
	}
}

func TestStartAnswersEachTaskWithItsOwnOutput(t *testing.T) {
	fleet := newFleet(t, backendserver.Options{Count: 2, Slots: 16})
	c := newCaller(t, backendcaller.Options{Caller: "vm-1"})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	vms := fleet.VMs()
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			s := newStartRequest(i, fmt.Sprintf(`{"sleepMillis":%d, "output":[%d]}`, 32-i, i))
			checkOutput(t, s, c.Start(ctx, vms[i%2].Address, s))
		})
	}
	wg.Wait()
	if got := fleet.AuditSummary(); got.Starts != 32 || got.Duplicates != 0 || got.Running != 0 {
		t.Errorf("got %+v, want 32 starts", got)
	}
}

func TestStartIsRefused(t *testing.T) {
	fleet := newFleet(t, backendserver.Options{Count: 1, Slots: 1})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	address := fleet.VMs()[0].Address
	big := newStartRequest(0, `{}`)
	big.Memory = 1 << 30
	for _, test := range []struct {
		name   string
		faults backendserver.Faults
		start  backendcaller.StartRequest
		want   backendcaller.RefusalReason
	}{
		{"full", backendserver.Faults{Full: true}, newStartRequest(0, `{}`), backendcaller.Full},
		{"leaving", backendserver.Faults{Leaving: true}, newStartRequest(0, `{}`), backendcaller.Leaving},
		{"too large", backendserver.Faults{}, big, backendcaller.TooLarge},
		{"dead", backendserver.Faults{Dead: true}, newStartRequest(0, `{}`), backendcaller.Unreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := fleet.SetFaults(backendserver.Selector{All: true}, test.faults); err != nil {
				t.Fatal(err)
			}
			// With a connection from before the fault, the answer could be lost instead.
			c := newCaller(t, backendcaller.Options{Caller: "vm-1"})
			result := c.Start(ctx, address, test.start)
			if got, ok := result.(backendcaller.NotStarted); !ok || got.Reason != test.want {
				t.Errorf("got %#v, want NotStarted with reason %s", result, test.want)
			}
		})
	}
	if got := fleet.AuditSummary(); got.Starts != 0 {
		t.Errorf("got %d starts, want none", got.Starts)
	}
}

// BenchmarkStart reports the processor time of caller and server together.
func BenchmarkStart(b *testing.B) {
	fleet := newFleet(b, backendserver.Options{Count: 4, Slots: 1 << 20})
	c := newCaller(b, backendcaller.Options{Caller: "vm-1"})
	vms := fleet.VMs()
	var next atomic.Int64
	before := processorTime(b)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := int(next.Add(1))
			s := newStartRequest(i, `{"sleepMillis":0,"output":"0123456789"}`)
			if _, ok := c.Start(b.Context(), vms[i%4].Address, s).(backendcaller.Succeeded); !ok {
				b.Error("a start did not succeed")
			}
		}
	})
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "processor-us/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
