package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// fakeReply is one reply of fakeCallers. Status 0 breaks the connection instead.
type fakeReply struct {
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body"`
}

// fakeCallers serves the callers' API from a list of replies, and appends each
// request to a log file.
type fakeCallers struct {
	mu      sync.Mutex
	replies []fakeReply
	log     string
}

// fakeCallersCmd starts fakeCallers and sets the client's server to it. The
// requests are written to $WORK/requests.
func fakeCallersCmd(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: fakecallers FILE")
	}
	f := &fakeCallers{log: ts.MkAbs("requests")}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &f.replies))
	server := httptest.NewServer(f)
	ts.Defer(server.Close)
	ts.Setenv(envServer, server.URL)
}

func (f *fakeCallers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Peppertrack-Failure-Domain", "perth-a")
	if r.URL.Path == "/readyz" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logRequest(r)
	if len(f.replies) == 0 {
		http.Error(w, "no reply is left", http.StatusTeapot)
		return
	}
	reply := f.replies[0]
	f.replies = f.replies[1:]
	if reply.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (f *fakeCallers) logRequest(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	line := fmt.Sprintf("%s %s %s %s", r.Method, r.URL, r.Header.Get("Authorization"), body)
	log, err := os.OpenFile(f.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer log.Close()
	fmt.Fprintln(log, strings.TrimSpace(line))
}
