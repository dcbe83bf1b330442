package platformserver

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// maxRequestSize bounds the body of a request, in bytes. The largest value fits in
// base64 with room to spare.
const maxRequestSize = 2 << 20

// errorResponse is the body of an answer whose status is not 200.
type errorResponse struct {
	Error    string                  `json:"error"`
	Detail   string                  `json:"detail,omitempty"`
	Revision platformcaller.Revision `json:"revision,omitempty"`
	Data     []byte                  `json:"data,omitempty"`
}

type emptyResponse struct{}

// callerView returns the service as the sender of the request sees it: the faults
// for its VM and its failure domain apply.
func (s *Server) callerView(r *http.Request) *platformcaller.FakeCaller {
	caller := identifier.VMID(r.Header.Get(platformcaller.CallerHeader))
	domain := identifier.FailureDomain(r.Header.Get(platformcaller.FailureDomainHeader))
	return s.service.CallerView(caller, domain)
}

// decodeRequest decodes the JSON body of a request into v and rejects unknown
// fields. If it can't, it answers with status 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		refuseRequest(w, err.Error())
		return false
	}
	return true
}

func refuseRequest(w http.ResponseWriter, detail string) {
	respond(w, http.StatusBadRequest, errorResponse{Error: "badRequest", Detail: detail})
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have closed the connection
}

// respondOrFail answers with v, or with the status and body for err. If the caller
// must not learn the outcome, it closes the connection without an answer.
func respondOrFail(w http.ResponseWriter, v any, err error) {
	var (
		conflict *platformcaller.ConflictError
		lapsed   *platformcaller.LeaseLapsedError
		bad      *platformcaller.BadRequestError
		unknown  *platformcaller.OutcomeUnknownError
	)
	switch {
	case err == nil:
		respond(w, http.StatusOK, v)
	case errors.As(err, &conflict):
		respond(w, http.StatusConflict, errorResponse{Error: "conflict", Revision: conflict.Current.Revision, Data: conflict.Current.Data})
	case errors.As(err, &lapsed):
		respond(w, http.StatusNotFound, errorResponse{Error: "leaseLapsed"})
	case errors.As(err, &bad):
		refuseRequest(w, bad.Detail)
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	default:
		respond(w, http.StatusServiceUnavailable, errorResponse{Error: "unavailable", Detail: err.Error()})
	}
}
