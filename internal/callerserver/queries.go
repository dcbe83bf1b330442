package callerserver

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// fetch answers with the status of a submission, after at most MaxWait.
func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	team, err := s.opts.Authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	wait, err := parseWait(r.URL.Query().Get("waitMillis"), s.opts.MaxWait)
	if err != nil {
		writeError(w, err)
		return
	}
	id, err := parseID(r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	status, err := s.opts.Dispatcher.Fetch(r.Context(), team, id, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeStatus(w, id, status)
}

// health tells the balancer that the process is alive.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// ready tells the balancer whether it may send requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.opts.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// parseWait parses a number of milliseconds; an empty text is 0.
func parseWait(text string, maxWait time.Duration) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxWait.Milliseconds() {
		return 0, &FieldError{Field: "waitMillis", Problem: fmt.Sprintf("is not a number from 0 to %d", maxWait.Milliseconds())}
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func parseID(text string) (identifier.SubmissionID, error) {
	if text == "" || len(text) > maxIDLength {
		return "", &FieldError{Field: "submissionId", Problem: fmt.Sprintf("is not of 1 to %d characters", maxIDLength)}
	}
	return identifier.SubmissionID(text), nil
}
