package backendserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/sebdah/goldie/v2"
)

// newTestServer returns a server without a listener.
func newTestServer(f *Fleet) *server {
	s := f.newServer(0)
	s.http = &http.Server{} // a server without one counts as dead
	f.servers = append(f.servers, s)
	return s
}

func newTestFleet() *Fleet {
	return &Fleet{opts: Options{Slots: 2, Millicores: 4000, Memory: 1000}.withDefaults(), auditor: newAuditor()}
}

// varyingFields matches the fields that differ from run to run: times and run
// times.
var varyingFields = regexp.MustCompile(`"(startedAt|endedAt|takenAt)":"[^"]*"|"(runMicros|runMillis)":\d+`)

// TestSessions sends the requests of each txtar archive in testdata/sessions, and
// compares the requests and their answers with the golden file. A request goes to
// the server, or to the fleet's admin API if its name begins with "admin:". Its
// first line is its method and its path, the rest its body.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, name, runSession(archive))
		})
	}
}

func runSession(archive *txtar.Archive) []byte {
	fleet := newTestFleet()
	s := newTestServer(fleet)
	s.refreshUsage()
	var session bytes.Buffer
	for _, f := range archive.Files {
		h := s.handler()
		if strings.HasPrefix(f.Name, "admin:") {
			h = fleet.Handler()
		}
		line, body, _ := strings.Cut(string(f.Data), "\n")
		method, path, _ := strings.Cut(line, " ")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		answer := varyingFields.ReplaceAll(bytes.TrimSpace(w.Body.Bytes()), []byte(`"$1$2":…`))
		fmt.Fprintf(&session, "## %s\n%s\n%s-> %d %s\n\n", f.Name, line, body, w.Code, answer)
	}
	return session.Bytes()
}

// FuzzRequests sends arbitrary bodies to every handler that decodes one. An
// answer is JSON with a status of the protocol.
func FuzzRequests(f *testing.F) {
	paths := []string{"/v1/tasks/start", "/v1/tasks/stop", "/v1/tasks/query", "/v1/tasks/throttle", "/v1/tasks/checkpoint", "/v1/faults"}
	seeds, err := os.ReadFile("testdata/requests.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for i, seed := range strings.Split(strings.TrimSpace(string(seeds)), "\n") {
		f.Add(i%len(paths), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, path int, body []byte) {
		fleet := newTestFleet()
		s := newTestServer(fleet)
		target := paths[uint(path)%uint(len(paths))]
		h := s.handler()
		switch {
		case target == "/v1/faults":
			h = fleet.Handler()
		case target == paths[0] && requestsRunTime(body):
			return // the answer would come only when the task ends
		}
		if target == "/v1/faults" && bytes.Contains(body, []byte("dead")) {
			return // this server has no listener to close
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, target, bytes.NewReader(body)))
		switch w.Code {
		case http.StatusOK, http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		default:
			t.Errorf("got status %d for %s", w.Code, target)
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Errorf("the answer %q is not JSON", w.Body)
		}
	})
}

// requestsRunTime reports whether the body asks for a task with a run time above 0.
func requestsRunTime(body []byte) bool {
	var req startRequest
	var p payload
	return json.Unmarshal(body, &req) == nil && json.Unmarshal(req.Payload, &p) == nil && p.runTime() > 0
}
