package callerserver

import (
	"net/http"
)

// submit submits a job, or joins it if its submission is already known.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	team, err := s.opts.Authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	body := http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes)
	request, err := decodeJob(body)
	if err != nil {
		writeError(w, err)
		return
	}
	job, err := request.job(team, s.opts.MaxTasks)
	if err != nil {
		writeError(w, err)
		return
	}
	status, err := s.opts.Dispatcher.Submit(r.Context(), job, request.waits())
	if err != nil {
		writeError(w, err)
		return
	}
	writeStatus(w, job.Submission, status)
}

// cancel cancels a job and answers with its status.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	team, err := s.opts.Authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	id, err := parseID(r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	status, err := s.opts.Dispatcher.Cancel(r.Context(), team, id)
	if err != nil {
		writeError(w, err)
		return
	}
	writeStatus(w, id, status)
}
