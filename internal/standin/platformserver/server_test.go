package platformserver_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/standin/platformserver"
)

// TestSessions sends the requests of each txtar archive in testdata/sessions, and
// compares the requests and their answers with the golden file. The first line of
// a request is its method and its path, the rest its body.
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
			goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, name, runSession(t, archive))
		})
	}
}

func runSession(t *testing.T, archive *txtar.Archive) []byte {
	t.Helper()
	s := platformserver.New(platformserver.Options{WatchBound: time.Millisecond, Seed: 1})
	defer s.Memory().Close()
	hs := httptest.NewServer(s.Handler())
	defer hs.Close()
	var session bytes.Buffer
	for _, f := range archive.Files {
		line, body, _ := strings.Cut(string(f.Data), "\n")
		fmt.Fprintf(&session, "## %s\n%s\n%s", f.Name, line, body)
		fmt.Fprintf(&session, "-> %s\n\n", sendRequest(t, hs.URL, line, body))
	}
	return session.Bytes()
}

func sendRequest(t *testing.T, url, line, body string) string {
	t.Helper()
	method, path, _ := strings.Cut(line, " ")
	r, err := http.NewRequestWithContext(t.Context(), method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if errors.Is(err, io.EOF) {
		return "the connection was closed without an answer"
	}
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, bytes.TrimSpace(answer))
}

// FuzzRequests sends arbitrary bodies to every handler that decodes one. Every
// answer has a status of the protocol.
func FuzzRequests(f *testing.F) {
	paths := []string{"PUT /v1/keys/k", "POST /v1/leases", "POST /v1/vms", "DELETE /v1/vms", "POST /v1/faults"}
	seeds, err := os.ReadFile("testdata/requests.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for i, seed := range strings.Split(strings.TrimSpace(string(seeds)), "\n") {
		f.Add(i%len(paths), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, path int, body []byte) {
		s := platformserver.New(platformserver.Options{WatchBound: time.Millisecond})
		defer s.Memory().Close()
		method, target, _ := strings.Cut(paths[uint(path)%uint(len(paths))], " ")
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(method, target, bytes.NewReader(body)))
		switch w.Code {
		case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusServiceUnavailable:
		default:
			t.Errorf("got status %d for %s %s", w.Code, method, target)
		}
	})
}
