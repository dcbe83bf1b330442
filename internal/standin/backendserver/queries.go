package backendserver

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// maxQueryWait bounds the time that a query waits for the end of a task.
const maxQueryWait = 10 * time.Second

type helloResponse struct {
	Server identifier.BackendID   `json:"server"`
	State  platformcaller.VMState `json:"state"`
	Slots  identifier.Slots       `json:"slots"`
}

type queryRequest struct {
	taskRefBody
	WaitMillis int64 `json:"waitMillis"`
}

type queryResponse struct {
	State  string          `json:"state"`
	Result *endingResponse `json:"result,omitempty"` // nil unless the task has ended
}

type usageResponse struct {
	TakenAt     time.Time              `json:"takenAt"`
	State       platformcaller.VMState `json:"state"`
	Slots       identifier.Slots       `json:"slots"`
	Running     identifier.Slots       `json:"running"`
	Connections int                    `json:"connections"`
	Millicores  identifier.Millicores  `json:"millicores"`
	Memory      identifier.Mebibytes   `json:"memoryMebibytes"`
	Tasks       []taskUsage            `json:"tasks"`
}

type taskUsage struct {
	taskRefBody
	Millicores identifier.Millicores `json:"millicores"`
	Memory     identifier.Mebibytes  `json:"memoryMebibytes"`
	RunMillis  int64                 `json:"runMillis"`
}

func (s *server) getHello(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	resp := helloResponse{Server: s.id, State: s.state(), Slots: s.opts.Slots}
	s.mu.Unlock()
	respond(w, http.StatusOK, resp)
}

// postQuery answers with a task's state. If the task runs, it first waits for its
// end, at most for waitMillis.
func (s *server) postQuery(w http.ResponseWriter, r *http.Request) {
	var req queryRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	s.awaitTask(r, req)
	s.mu.Lock()
	t, state := s.findTask(req.ref())
	resp := queryResponse{State: state}
	if state == stateEnded {
		result := newEndingResponse(t)
		resp.Result = &result
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, resp)
}

func (s *server) awaitTask(r *http.Request, req queryRequest) {
	s.mu.Lock()
	t, state := s.findTask(req.ref())
	s.mu.Unlock()
	if state != stateRunning || req.WaitMillis <= 0 {
		return
	}
	wait := time.Duration(min(req.WaitMillis, maxQueryWait.Milliseconds())) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// getUsage answers with the usage report of the last refresh, which lags behind.
func (s *server) getUsage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	resp := s.usage
	s.mu.Unlock()
	respond(w, http.StatusOK, resp)
}

// refreshUsage builds the usage report that getUsage returns until the next
// refresh.
func (s *server) refreshUsage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u := usageResponse{
		TakenAt:     now,
		State:       s.state(),
		Slots:       s.opts.Slots,
		Running:     s.running,
		Connections: len(s.conns),
		Tasks:       []taskUsage{},
	}
	for _, t := range s.table.running() {
		u.Millicores += t.millicores
		u.Memory += t.memory
		u.Tasks = append(u.Tasks, taskUsage{
			taskRefBody: taskRefBody(t.ref),
			Millicores:  t.millicores,
			Memory:      t.memory,
			RunMillis:   now.Sub(t.startedAt).Milliseconds(),
		})
	}
	slices.SortFunc(u.Tasks, func(a, b taskUsage) int {
		return cmp.Or(cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Index, b.Index))
	})
	s.usage = u
}
