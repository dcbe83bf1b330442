package backendserver

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Headers that identify the caller on the first request of a connection.
const (
	CallerHeader        = "Backend-Caller"
	FailureDomainHeader = "Backend-Caller-Failure-Domain"
)

const (
	maxRequestSize = 4 << 20 // bytes
	maxNameSize    = 256     // bytes
	maxLease       = time.Hour
)

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hello", s.getHello)
	mux.HandleFunc("POST /v1/tasks/start", s.postStart)
	mux.HandleFunc("POST /v1/tasks/stop", s.postStop)
	mux.HandleFunc("POST /v1/tasks/query", s.postQuery)
	mux.HandleFunc("POST /v1/tasks/throttle", s.postThrottle)
	mux.HandleFunc("POST /v1/tasks/checkpoint", s.postCheckpoint)
	mux.HandleFunc("GET /v1/usage", s.getUsage)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.identifyPeer(r)
		mux.ServeHTTP(w, r)
	})
}

// identifyPeer stores the caller at the other end of the request's connection, and
// waits while that caller is cut off.
func (s *server) identifyPeer(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c.peer.Load() != nil {
		return
	}
	c.peer.Store(&peer{
		caller: identifier.VMID(r.Header.Get(CallerHeader)),
		domain: identifier.FailureDomain(r.Header.Get(FailureDomainHeader)),
	})
	c.waitWhileStalled()
}

var jsonHeader = []string{"application/json"}

// decodeRequest decodes the JSON body of a request into v. If it can't, it
// answers with status 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := readBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		refuseRequest(w, err.Error())
		return false
	}
	return true
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if n := r.ContentLength; n >= 0 && n <= maxRequestSize {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestSize))
}

func refuseRequest(w http.ResponseWriter, detail string) {
	respond(w, http.StatusBadRequest, refusalResponse{Refused: "badRequest", Detail: detail})
}

func respond(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Type"] = jsonHeader
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have closed the connection
}
