package platformserver

import (
	"net/http"
	"strconv"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

type valueResponse struct {
	Revision platformcaller.Revision `json:"revision"`
	Data     []byte                  `json:"data,omitempty"`
}

type vmsResponse struct {
	VMs []platformcaller.VM `json:"vms"`
}

type countersResponse struct {
	Callers map[identifier.VMID]platformcaller.Counters `json:"callers"`
}

// getKey answers with a key's value. With the parameter after, it waits until the
// value's revision is above that one.
func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after := r.FormValue("after")
	if after == "" {
		v, err := s.callerView(r).Get(r.Context(), key)
		respondOrFail(w, newValueResponse(v), err)
		return
	}
	revision, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		refuseRequest(w, "after: not a revision")
		return
	}
	v, err := s.callerView(r).Watch(r.Context(), key, platformcaller.Revision(revision))
	respondOrFail(w, newValueResponse(v), err)
}

func newValueResponse(v platformcaller.Value) valueResponse {
	return valueResponse{Revision: v.Revision, Data: v.Data}
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.callerView(r).VMs(r.Context())
	respondOrFail(w, vmsResponse{VMs: vms}, err)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, countersResponse{Callers: s.service.Counters()})
}
