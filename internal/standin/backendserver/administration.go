package backendserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// auditPageSize is the number of audit records that are copied at a time.
const auditPageSize = 4096

type serverBody struct {
	VM       platformcaller.VM `json:"vm"`
	Faults   Faults            `json:"faults"`
	Rejected uint64            `json:"rejectedConnections"`
}

type serversResponse struct {
	Servers []serverBody `json:"servers"`
}

type faultsRequest struct {
	Selector
	Faults Faults `json:"faults"`
}

type faultsResponse struct {
	Servers int `json:"servers"` // number of servers whose faults were set
}

func (f *Fleet) getServers(w http.ResponseWriter, _ *http.Request) {
	resp := serversResponse{Servers: []serverBody{}}
	for _, s := range f.servers {
		vm := s.vm()
		s.mu.Lock()
		resp.Servers = append(resp.Servers, serverBody{VM: vm, Faults: s.faults, Rejected: s.rejected})
		s.mu.Unlock()
	}
	respond(w, http.StatusOK, resp)
}

func (f *Fleet) postFaults(w http.ResponseWriter, r *http.Request) {
	var req faultsRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		refuseRequest(w, err.Error())
		return
	}
	n, err := f.SetFaults(req.Selector, req.Faults)
	if err != nil {
		refuseRequest(w, err.Error())
		return
	}
	respond(w, http.StatusOK, faultsResponse{Servers: n})
}

// getAudit streams the records that follow the sequence number in the parameter
// after, one per line.
func (f *Fleet) getAudit(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if s := r.FormValue("after"); s != "" {
		var err error
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			refuseRequest(w, "after: not a sequence number")
			return
		}
	}
	last := f.AuditSummary().Starts
	w.Header().Set("Content-Type", "application/jsonl")
	e := json.NewEncoder(w)
	for after < last {
		page := f.Audit(after, auditPageSize)
		for _, record := range page {
			if err := e.Encode(record); err != nil {
				return // the client has closed the connection
			}
			after = record.Sequence
		}
	}
}

func (f *Fleet) getAuditSummary(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, f.AuditSummary())
}
