package callerserver

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// fixedDispatcher answers every request with the same status and error.
type fixedDispatcher struct {
	status declarer.Status
	err    error
}

func (d fixedDispatcher) Submit(context.Context, declarer.Job, bool) (declarer.Status, error) {
	return d.status, d.err
}

func (d fixedDispatcher) Fetch(context.Context, identifier.Team, identifier.SubmissionID, time.Duration) (declarer.Status, error) {
	return d.status, d.err
}

func (d fixedDispatcher) Cancel(context.Context, identifier.Team, identifier.SubmissionID) (declarer.Status, error) {
	return d.status, d.err
}

func newTestServer(d Dispatcher) *Server {
	auth := authenticator.New(authenticator.Options{AuthenticationOff: true})
	return New(Options{
		Dispatcher:   d,
		Authenticate: func(r *http.Request) (identifier.Team, error) { return auth.Caller(r.Header.Get("Authorization")) },
		Domain:       "perth-a",
		MaxBodyBytes: 1 << 12,
		MaxTasks:     3,
		MaxRequests:  1,
		MaxWait:      time.Second,
		Ready:        func() bool { return true },
		Logger:       log.NewNopLogger(),
	})
}

// recordExchange sends a request and writes it to out, with its answer.
func recordExchange(out *bytes.Buffer, s *Server, name, method, path, body string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer buyers")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	fmt.Fprintf(out, "%s\n    %s %s\n    %d", name, method, path, w.Code)
	if after := w.Header().Get("Retry-After"); after != "" {
		fmt.Fprintf(out, " Retry-After: %s", after)
	}
	fmt.Fprintf(out, "\n    %s\n", strings.TrimSpace(w.Body.String()))
}

const goodBody = `{"submissionId":"perth-a.x","profile":"p","tasks":[{"payload":1}]}`

// TestAnswers records the status code and body for each ending and error.
func TestAnswers(t *testing.T) {
	var out bytes.Buffer
	known := func(e declarer.Ending) fixedDispatcher {
		return fixedDispatcher{status: declarer.Status{Known: true, EndedTasks: 1, Tasks: 2, Ending: e}}
	}
	for _, c := range []struct {
		name string
		d    fixedDispatcher
	}{
		{"running", known(nil)},
		{"complete", known(declarer.Complete{Outputs: [][]byte{[]byte(`{"a":1}`), []byte("not JSON"), nil}})},
		{"failed", known(declarer.Failed{Cause: declarer.TaskFailed, Detail: "d", Outcomes: []declarer.TaskOutcome{declarer.Ran, declarer.OutcomeUnknown}})},
		{"refused, retry later", known(declarer.Refused{Cause: declarer.QueueFull, Detail: "d", RetryAfter: 1500 * time.Millisecond})},
		{"refused permanently", known(declarer.Refused{Cause: declarer.DoesNotFit, Detail: "d"})},
		{"refused as bad request", known(declarer.Refused{Cause: declarer.BadRequest, Detail: "submissionId: empty"})},
		{"unverifiable", known(declarer.Unverifiable{Cause: declarer.RecordsLost, Detail: "d", RetryAfter: time.Second})},
		{"unknown", fixedDispatcher{}},
		{"busy", fixedDispatcher{err: &BusyError{RetryAfter: 250 * time.Millisecond}}},
		{"request cancelled", fixedDispatcher{err: context.Canceled}},
		{"another error", fixedDispatcher{err: errors.New("broken")}},
	} {
		recordExchange(&out, newTestServer(c.d), c.name, http.MethodPost, "/v1/jobs", goodBody)
	}
	goldie.New(t).Assert(t, "answers", out.Bytes())
}

// TestBadRequests records that the answer to each bad request names its field. A
// bad request must not reach the dispatcher.
func TestBadRequests(t *testing.T) {
	var out bytes.Buffer
	s := newTestServer(fixedDispatcher{err: errors.New("a bad request reached the dispatcher")})
	for _, body := range []string{
		`{`,
		goodBody + `{}`,
		`{"submissionId":"x","profile":"p","tasks":[{"payload":1}],"no":1}`,
		`{"profile":"p","tasks":[{"payload":1}]}`,
		`{"submissionId":"` + strings.Repeat("x", 129) + `","profile":"p","tasks":[{}]}`,
		`{"submissionId":"x","tasks":[{"payload":1}]}`,
		`{"submissionId":"x","profile":"p","tasks":[]}`,
		`{"submissionId":"x","profile":"p","tasks":[{},{},{},{}]}`,
		`{"submissionId":"x","profile":"p","deadlineMillis":-1,"tasks":[{}]}`,
		`{"submissionId":"x","profile":"p","tasks":[{},{"runTimeMillis":3600001}]}`,
		`{"submissionId":"x","profile":"p","tasks":[{"memoryMebibytes":-1}]}`,
		`{"submissionId":"x","profile":"p","tasks":[{"payload":"` + strings.Repeat("x", 1<<12) + `"}]}`,
	} {
		name := body
		if len(name) > 90 {
			name = fmt.Sprintf("%s… (%d bytes)", name[:60], len(name))
		}
		recordExchange(&out, s, name, http.MethodPost, "/v1/jobs", body)
	}
	recordExchange(&out, s, "wait out of bounds", http.MethodGet, "/v1/jobs/x?waitMillis=1001", "")
	recordExchange(&out, s, "unsupported method", http.MethodPut, "/v1/jobs/x", "")
	goldie.New(t).Assert(t, "badrequests", out.Bytes())
}

// TestUnauthenticated guards against a request with an invalid token that reaches
// the dispatcher.
func TestUnauthenticated(t *testing.T) {
	s := newTestServer(fixedDispatcher{err: errors.New("an unauthenticated request reached the dispatcher")})
	for _, header := range []string{"Basic x", "Bearer", "Bearer \x00"} {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			r := httptest.NewRequest(method, "/v1/jobs/x", http.NoBody)
			r.Header.Set("Authorization", header)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			if w.Code != http.StatusUnauthorized {
				t.Errorf("%s with %q: got %d", method, header, w.Code)
			}
		}
	}
}

// TestOpenRequestsAreBounded checks that a request above MaxRequests is answered
// at once, with an answer that leaves open whether its job has started.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := newTestServer(fixedDispatcher{})
	s.openRequests <- struct{}{}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(goodBody)))
	if w.Code != http.StatusConflict || !strings.Contains(w.Body.String(), `"unverifiable"`) {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
}

// FuzzJob checks that an accepted job is within its bounds.
func FuzzJob(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"submissionId":"x","attempt":4294967295,"createdAt":"2026-01-01T00:00:00Z","profile":"p","tasks":[null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := decodeJob(bytes.NewReader(body))
		if err != nil {
			return
		}
		job, err := request.job("team", 3)
		if err != nil {
			return
		}
		if len(job.Tasks) == 0 || len(job.Tasks) > 3 || job.Submission == "" || job.Deadline < 0 || job.Deadline > maxDeadline {
			t.Errorf("accepted %+v", job)
		}
	})
}
