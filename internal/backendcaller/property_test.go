package backendcaller_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/backendcaller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestResultsAgreeWithTheAudit starts tasks while faults are injected and
// cleared. It guards against a result that the servers' audit contradicts: a task
// that was not started has no start, one that succeeded or failed has one start
// with that ending, and no task is started twice.
func TestResultsAgreeWithTheAudit(t *testing.T) {
	fleet := newFleet(t, backendserver.Options{Count: 3, Slots: 4, Connections: 4})
	submission := 0
	resultCounts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		submission++
		h := &history{fleet: fleet, submission: identifier.SubmissionID(fmt.Sprint(submission))}
		h.run(rt)
		h.check(rt, resultCounts)
	})
	t.Logf("results: %v", resultCounts)
	for _, kind := range []string{"Succeeded", "TaskFailed", "NotStarted", "Lost"} {
		if resultCounts["backendcaller."+kind] == 0 {
			t.Errorf("no result was %s", kind)
		}
	}
}

const tasksPerHistory = 24

// history is one run of starts under faults.
type history struct {
	fleet      *backendserver.Fleet
	submission identifier.SubmissionID
	after      uint64 // position in the audit at which the history begins
	results    [tasksPerHistory]backendcaller.StartResult
}

func (h *history) run(rt *rapid.T) {
	h.after = h.fleet.AuditSummary().Starts
	c, err := backendcaller.New(backendcaller.Options{
		LostAnswerTimeout: 60 * time.Millisecond,
		ConnectTimeout:    30 * time.Millisecond,
		PingInterval:      20 * time.Millisecond,
		ReconnectDelay:    5 * time.Millisecond,
		RequestTimeout:    40 * time.Millisecond,
	})
	if err != nil {
		rt.Fatal(err)
	}
	vms := h.fleet.VMs()
	var wg sync.WaitGroup
	for i := range h.results {
		s := h.drawStart(rt, i)
		address := vms[i%len(vms)].Address
		delay := time.Duration(rapid.IntRange(0, 30).Draw(rt, "delay")) * time.Millisecond
		wg.Go(func() {
			time.Sleep(delay)
			h.results[i] = c.Start(context.Background(), address, s)
		})
	}
	for range 3 {
		h.injectFault(rt)
		time.Sleep(10 * time.Millisecond)
	}
	h.clearFaults(rt)
	wg.Wait()
	c.Close()
	for h.fleet.AuditSummary().Running > 0 {
		time.Sleep(time.Millisecond)
	}
}

func (h *history) drawStart(rt *rapid.T, index int) backendcaller.StartRequest {
	sleep := rapid.IntRange(0, 30).Draw(rt, "sleep")
	fail := rapid.IntRange(0, 5).Draw(rt, "fail") == 0
	return backendcaller.StartRequest{
		Task:    identifier.TaskRef{Submission: h.submission, Index: identifier.TaskIndex(index)},
		Lease:   time.Duration(rapid.IntRange(5, 100).Draw(rt, "lease")) * time.Millisecond,
		Payload: fmt.Appendf(nil, `{"sleepMillis":%d,"fail":%v}`, sleep, fail),
	}
}

func (h *history) injectFault(rt *rapid.T) {
	server := rapid.SampledFrom(h.fleet.VMs()).Draw(rt, "server").ID
	faults := rapid.SampledFrom([]backendserver.Faults{
		{Dead: true},
		{Frozen: true},
		{Cut: true},
		{Full: true},
		{Leaving: true},
		{Failing: true},
		{Straggle: 5},
	}).Draw(rt, "faults")
	selector := backendserver.Selector{Servers: []identifier.BackendID{identifier.BackendID(server)}}
	if _, err := h.fleet.SetFaults(selector, faults); err != nil {
		rt.Fatal(err)
	}
}

func (h *history) clearFaults(rt *rapid.T) {
	if _, err := h.fleet.SetFaults(backendserver.Selector{All: true}, backendserver.Faults{}); err != nil {
		rt.Fatal(err)
	}
}

func (h *history) check(rt *rapid.T, resultCounts map[string]int) {
	records := make(map[identifier.TaskIndex][]backendserver.AuditRecord)
	for _, r := range h.fleet.Audit(h.after, 1<<20) {
		if r.Submission == h.submission {
			records[r.Index] = append(records[r.Index], r)
		}
	}
	for i, result := range h.results {
		resultCounts[fmt.Sprintf("%T", result)]++
		starts := records[identifier.TaskIndex(i)]
		if !agrees(result, starts) {
			rt.Fatalf("task %d: the audit %+v contradicts %#v", i, starts, result)
		}
	}
}

// agrees reports whether the audited starts of a task agree with its result.
func agrees(result backendcaller.StartResult, starts []backendserver.AuditRecord) bool {
	switch r := result.(type) {
	case backendcaller.NotStarted:
		return len(starts) == 0
	case backendcaller.Succeeded:
		return len(starts) == 1 && starts[0].Ending == backendserver.Succeeded
	case backendcaller.TaskFailed:
		return len(starts) == 1 && string(starts[0].Ending) == string(r.Cause)
	case backendcaller.Lost:
		return len(starts) <= 1
	default:
		return false
	}
}
