package loader

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/auditor"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

// fakeSystem serves the callers' API and the backend servers' audit, and commits
// one kind of violation; none if defect is empty.
type fakeSystem struct {
	defect auditor.ViolationKind

	mu      sync.Mutex
	starts  []auditRecord
	answers map[identifier.SubmissionID][]json.RawMessage
}

type fakeJob struct {
	SubmissionID identifier.SubmissionID `json:"submissionId"`
	Tasks        []struct {
		Payload json.RawMessage `json:"payload"`
	} `json:"tasks"`
}

func (f *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/v1/jobs":
		f.submit(w, r)
	case "/v1/audit":
		for _, start := range f.starts {
			_ = json.NewEncoder(w).Encode(start)
		}
	case "/v1/audit/summary":
		_ = json.NewEncoder(w).Encode(backendSummary{Endings: map[string]int64{"succeeded": int64(len(f.starts))}})
	case "/debug/vars":
		fmt.Fprintf(w, `{"backends":{"start":{"needed":%d}}}`, len(f.starts))
	default:
		_, _ = w.Write([]byte("ok"))
	}
}

func (f *fakeSystem) submit(w http.ResponseWriter, r *http.Request) {
	var job fakeJob
	if err := json.NewDecoder(r.Body).Decode(&job); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outputs, known := f.answers[job.SubmissionID]
	if !known || f.defect == auditor.DoubleStart || f.defect == auditor.UnrepeatableTwice {
		outputs = f.runJob(job)
	}
	if f.defect == auditor.FalseNotRun {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"ending":"refused","cause":"queueFull"}`))
		return
	}
	body := map[string]any{"submissionId": job.SubmissionID, "ending": "complete", "outputs": outputs}
	if f.defect == auditor.WrongCaller {
		body["submissionId"] = "other"
	}
	_ = json.NewEncoder(w).Encode(body)
}

// runJob records a start of every task of a job and returns the outputs.
func (f *fakeSystem) runJob(job fakeJob) []json.RawMessage {
	var outputs []json.RawMessage
	for i, task := range job.Tasks {
		ref := identifier.TaskRef{Submission: job.SubmissionID, Index: identifier.TaskIndex(i)}
		sequence := uint64(len(f.starts) + 1)
		f.starts = append(f.starts, auditRecord{
			Sequence: sequence, Server: "b", Submission: ref.Submission, Index: ref.Index, StartedAt: time.Now(),
		})
		outputs = append(outputs, json.RawMessage(fmt.Sprintf(`{"checksum":%q}`, backendserver.Checksum(ref, task.Payload))))
	}
	switch f.defect {
	case auditor.PartialAnswer:
		outputs = outputs[:len(outputs)-1]
	case auditor.WrongOutput:
		outputs[0], outputs[1] = outputs[1], outputs[0]
	}
	f.answers[job.SubmissionID] = outputs
	return outputs
}

func optionsWithDefect(t *testing.T, defect auditor.ViolationKind) Options {
	server := httptest.NewServer(&fakeSystem{defect: defect, answers: make(map[identifier.SubmissionID][]json.RawMessage)})
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	w := DefaultWorkload()
	w.Duration = 200 * time.Millisecond
	w.TasksMin, w.TasksMax = 2, 5
	w.Resubmissions = Resubmissions{Share: 1, Copies: 1}
	if defect == auditor.UnrepeatableTwice {
		w.UnrepeatableShare = 1
	}
	return Options{Workload: w, Slots: 40, EntryVMs: []string{address}, BackendAdmin: address}
}

func TestRunFindsNoViolationInACorrectSystem(t *testing.T) {
	report, err := Run(t.Context(), optionsWithDefect(t, ""))
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Violations) > 0 || report.Unfinished > 0 || report.NotSent > 0 {
		t.Errorf("report %+v", report)
	}
	if report.Jobs == 0 || report.All.Goodput != 1 || report.Endings[complete] != report.Jobs {
		t.Errorf("%d jobs, goodput %v, endings %v", report.Jobs, report.All.Goodput, report.Endings)
	}
	if report.Messages.Needed != int64(report.Tasks) || report.Starts != report.Tasks {
		t.Errorf("%d tasks, %d starts, messages %+v", report.Tasks, report.Starts, report.Messages)
	}
	if err := report.WriteText(&strings.Builder{}); err != nil {
		t.Error(err)
	}
}

func TestRunFindsEachDefect(t *testing.T) {
	defects := []auditor.ViolationKind{
		auditor.DoubleStart, auditor.UnrepeatableTwice, auditor.PartialAnswer,
		auditor.WrongOutput, auditor.WrongCaller, auditor.FalseNotRun,
	}
	for _, defect := range defects {
		t.Run(string(defect), func(t *testing.T) {
			report, err := Run(t.Context(), optionsWithDefect(t, defect))
			if err != nil {
				t.Fatal(err)
			}
			var kinds []auditor.ViolationKind
			for _, violation := range report.Violations {
				kinds = append(kinds, violation.Kind)
			}
			if diff := cmp.Diff([]auditor.ViolationKind{defect}, slices.Compact(slices.Sorted(slices.Values(kinds)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
