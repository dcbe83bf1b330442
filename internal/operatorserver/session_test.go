package operatorserver

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// fakeAuthenticator takes the bearer token as the operator's name, and the token
// "team" as a team's.
type fakeAuthenticator struct{}

func (fakeAuthenticator) Operator(header string) (string, error) {
	name, ok := strings.CutPrefix(header, "Bearer ")
	switch {
	case !ok:
		return "", &authenticator.UnauthenticatedError{Detail: "the Authorization header is missing"}
	case name == "team":
		return "", &authenticator.ForbiddenError{Detail: "the token of team desk gives no control"}
	}
	return name, nil
}

// testServer is a server with a store in memory. Its book in force is the one
// that it wrote last.
type testServer struct {
	store *platformcaller.FakeService
	book  profilekeeper.Book
	http.Handler
}

func newTestServer() *testServer {
	s := &testServer{store: platformcaller.NewFakeService(platformcaller.FakeOptions{})}
	options := profilewriter.Options{
		Store:       s.store,
		CurrentBook: func() profilekeeper.Book { return s.book },
		BookSeen:    func(b profilekeeper.Book) { s.book = b },
	}
	s.Handler = New(Options{Authenticator: fakeAuthenticator{}, Writer: profilewriter.New(options), Book: options.CurrentBook, Status: s})
	return s
}

func (s *testServer) Status(context.Context) ([]VMStatus, error) {
	status := profilekeeper.Status{Version: s.book.Version, Chain: s.book.Chain, Verified: true}
	return []VMStatus{
		{VM: "vm1", Incarnation: 1, FailureDomain: "perth-a", Reachable: true, Profiles: status},
		{VM: "vm2", Incarnation: 1, FailureDomain: "perth-b", Detail: "no link", CutOff: nil},
	}, nil
}

// runLine runs one line of a session, "store up|down|loses" or
// "METHOD PATH OPERATOR [BODY]", and returns the answer's status and body. The
// operator "-" sends no token.
func (s *testServer) runLine(line string) string {
	if fault, ok := strings.CutPrefix(line, "store "); ok {
		s.store.SetFaults(map[string]platformcaller.Faults{
			"up": {}, "down": {Down: true}, "loses": {LoseResponses: 1},
		}[fault])
		return ""
	}
	parts := append(strings.SplitN(line, " ", 4), "")
	r := httptest.NewRequestWithContext(context.Background(), parts[0], parts[1], strings.NewReader(parts[3]))
	if parts[2] != "-" {
		r.Header.Set("Authorization", "Bearer "+parts[2])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return fmt.Sprintf("%d %s", w.Code, w.Body)
}

// TestSessions runs each testdata/sessions/*.txt and compares the answers with
// the golden file of its name.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			synctest.Test(t, func(*testing.T) {
				s := newTestServer()
				defer s.store.Close()
				for line := range strings.Lines(string(script)) {
					line = strings.TrimSpace(line)
					fmt.Fprintln(&b, ">", line)
					if line != "" && line[0] != '#' {
						b.WriteString(s.runLine(line))
						time.Sleep(time.Second)
					}
				}
			})
			g.Assert(t, name, b.Bytes())
		})
	}
}

// FuzzChange checks that no body of a change makes the server panic or answer
// 500, and that the book stays consistent with its history.
func FuzzChange(f *testing.F) {
	f.Add(`{"changeId":"a","reason":"r","operations":[{"create":{"profile":{"name":"a"}}}]}`)
	f.Add(`{"changeId":"a","reason":"r","operations":[{"change":{"profile":{"name":"a"},"base":1}}]}`)
	f.Add(`{"changeId":"a","reason":"r","operations":[{}]}`)
	f.Add(`{"changeId":1}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		s := newTestServer()
		defer s.store.Close()
		answer := s.runLine("POST " + pathPrefix + "changes ada " + body)
		if strings.HasPrefix(answer, "500 ") {
			t.Fatal(answer)
		}
		if err := s.book.Verify(); err != nil {
			t.Fatal(err)
		}
	})
}
