package jobsubmitter

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/declarer"
)

// reply is a fakeTransport's answer to one request. With status 0 the answer is
// lost.
type reply struct {
	status int
	body   string
	header http.Header
}

// fakeTransport is an in-memory transport to entry VMs that returns listed replies.
type fakeTransport struct {
	mu      sync.Mutex
	replies []reply
	seen    []submitRequest
	hosts   []string
	times   []time.Time
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{failureDomainHeader: {"perth-a"}}
	if r.URL.Path == "/readyz" {
		return &http.Response{StatusCode: http.StatusOK, Header: header, Body: http.NoBody}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var seen submitRequest
	if r.Body != nil {
		if err := json.NewDecoder(r.Body).Decode(&seen); err != nil {
			return nil, err
		}
	}
	f.seen = append(f.seen, seen)
	f.hosts = append(f.hosts, r.URL.Host)
	f.times = append(f.times, time.Now())
	next := f.replies[0]
	f.replies = f.replies[1:]
	if next.status == 0 {
		return nil, errors.New("connection reset")
	}
	for key, values := range next.header {
		header[key] = values
	}
	body := strings.ReplaceAll(next.body, "ID", string(seen.SubmissionID))
	return &http.Response{StatusCode: next.status, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

const completeBody = `{"submissionId":"ID","ending":"complete","outputs":[{"a":1},2]}`

func newTestSubmitter(t *testing.T, f *fakeTransport, opts Options) *Submitter {
	t.Helper()
	opts.Transport = f
	opts.Addresses = []string{"127.0.0.1:1", "127.0.0.1:2"}
	s, err := New(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSubmitRepeatsLostAttemptElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{replies: []reply{{}, {}, {status: 200, body: completeBody}}}
		s := newTestSubmitter(t, f, Options{})
		defer s.Close()
		answer, err := s.Submit(t.Context(), Submission{Profile: "orderDesk", Tasks: make([]Task, 2)})
		if err != nil {
			t.Fatal(err)
		}
		want := declarer.Complete{Outputs: [][]byte{[]byte(`{"a":1}`), []byte(`2`)}}
		if diff := cmp.Diff(declarer.Ending(want), answer.Ending); diff != "" {
			t.Error(diff)
		}
		for i, seen := range f.seen {
			if seen.SubmissionID != answer.Submission || int(seen.Attempt) != i+1 {
				t.Errorf("request %d: id %s attempt %d", i, seen.SubmissionID, seen.Attempt)
			}
		}
		if f.hosts[0] == f.hosts[1] || f.hosts[1] == f.hosts[2] {
			t.Errorf("hosts %v: a lost attempt was repeated on the same entry VM", f.hosts)
		}
		if !strings.HasPrefix(string(answer.Submission), "perth-a.") {
			t.Errorf("id %s lacks the failure domain", answer.Submission)
		}
	})
}

func TestSubmitHonoursRetryAfter(t *testing.T) {
	refused := `{"submissionId":"ID","ending":"refused","cause":"queueFull"}`
	tests := []struct {
		name  string
		reply reply
	}{
		{"header", reply{503, refused, http.Header{"Retry-After": {"3"}}}},
		{"body", reply{503, strings.Replace(refused, "}", `,"retryAfterMillis":3000}`, 1), nil}},
		{"unverifiable", reply{409, `{"ending":"unverifiable","cause":"homeUnreachable","retryAfterMillis":3000}`, nil}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTransport{replies: []reply{test.reply, {status: 200, body: completeBody}}}
				s := newTestSubmitter(t, f, Options{})
				defer s.Close()
				answer, err := s.Submit(t.Context(), Submission{Tasks: make([]Task, 2)})
				if err != nil || answer.Attempts != 2 {
					t.Fatalf("attempts %d, error %v", answer.Attempts, err)
				}
				if pause := f.times[1].Sub(f.times[0]); pause < 3*time.Second || pause > 4*time.Second {
					t.Errorf("retried after %v", pause)
				}
			})
		})
	}
}

func TestSubmitReturnsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := `{"ending":"refused","cause":"overQuota","detail":"d","retryAfterMillis":10}`
		f := &fakeTransport{replies: []reply{{status: 503, body: body}}}
		s := newTestSubmitter(t, f, Options{ReturnRefusals: true})
		defer s.Close()
		answer, err := s.Submit(t.Context(), Submission{Tasks: make([]Task, 1)})
		if err != nil {
			t.Fatal(err)
		}
		want := declarer.Refused{Cause: declarer.OverQuota, Detail: "d", RetryAfter: 10 * time.Millisecond}
		if diff := cmp.Diff(declarer.Ending(want), answer.Ending); diff != "" {
			t.Error(diff)
		}
	})
}

func TestSubmitWaitsForRunningJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := reply{status: 202, body: `{"ending":"running","ended":1,"tasks":2}`}
		f := &fakeTransport{replies: []reply{running, running, {status: 422, body: `{"ending":"failed","cause":"taskFailed"}`}}}
		s := newTestSubmitter(t, f, Options{})
		defer s.Close()
		answer, err := s.Submit(t.Context(), Submission{Tasks: make([]Task, 2)})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(declarer.Ending(declarer.Failed{Cause: declarer.TaskFailed}), answer.Ending); diff != "" {
			t.Error(diff)
		}
	})
}

func TestSubmitErrors(t *testing.T) {
	tests := []struct {
		name    string
		replies []reply
		target  any
	}{
		{"no answer", make([]reply, DefaultAttempts), new(*UnansweredError)},
		{"other submission", []reply{{status: 200, body: `{"submissionId":"x","ending":"complete"}`}}, new(*WrongSubmissionError)},
		{"unknown", []reply{{status: 404, body: `{"ending":"unknown"}`}}, new(*UnknownSubmissionError)},
		{"not JSON", []reply{{status: 200, body: `<html>`}}, new(*MalformedAnswerError)},
		{"status contradicts ending", []reply{{status: 200, body: `{"ending":"refused"}`}}, new(*MalformedAnswerError)},
		{"answer above limit", []reply{{status: 200, body: strings.Repeat(" ", 101) + completeBody}}, new(*MalformedAnswerError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestSubmitter(t, &fakeTransport{replies: test.replies}, Options{AnswerLimit: 100})
				defer s.Close()
				_, err := s.Submit(t.Context(), Submission{Tasks: make([]Task, 1)})
				if !errors.As(err, test.target) {
					t.Errorf("error %v (%T) is not a %T", err, err, test.target)
				}
			})
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	budget := newRetryBudget()
	retries := 0
	const requests = 10_000
	for range requests {
		budget.earn()
		if budget.spend() {
			retries++
		}
	}
	if limit := int(retryBudgetCapacity + requests*retryBudgetPerRequest + 1); retries > limit {
		t.Errorf("%d retries for %d requests are more than %d", retries, requests, limit)
	}
}

func FuzzParseAnswer(f *testing.F) {
	f.Add(200, []byte(completeBody))
	f.Add(503, []byte(`{"ending":"refused","cause":"queueFull","retryAfterMillis":12}`))
	f.Add(404, []byte(`{"ending":"unknown"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		response := &http.Response{StatusCode: status, Header: http.Header{}}
		answer, err := parseAnswer("id", "127.0.0.1:1", response, body)
		if err == nil && answer.Submission != "id" {
			t.Errorf("answer of submission %q", answer.Submission)
		}
	})
}
