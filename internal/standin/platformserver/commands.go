package platformserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

type swapRequest struct {
	Expected platformcaller.Revision `json:"expected"`
	Data     []byte                  `json:"data"`
	Lease    platformcaller.LeaseID  `json:"lease"`
}

type grantRequest struct {
	TTLMillis int64 `json:"ttlMillis"`
}

type grantResponse struct {
	Lease platformcaller.LeaseID `json:"lease"`
}

type registerRequest struct {
	VMs       []platformcaller.VM `json:"vms"`
	TTLMillis int64               `json:"ttlMillis"`
}

type removeRequest struct {
	IDs []string `json:"ids"`
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	var req swapRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	revision, err := s.callerView(r).CompareAndSwapLeased(r.Context(), r.PathValue("key"), req.Expected, req.Data, req.Lease)
	respondOrFail(w, valueResponse{Revision: revision}, err)
}

func (s *Server) postLease(w http.ResponseWriter, r *http.Request) {
	var req grantRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	lease, err := s.callerView(r).Grant(r.Context(), time.Duration(req.TTLMillis)*time.Millisecond)
	respondOrFail(w, grantResponse{Lease: lease}, err)
}

func (s *Server) postKeepAlive(w http.ResponseWriter, r *http.Request) {
	lease, ok := parseLease(w, r)
	if !ok {
		return
	}
	respondOrFail(w, emptyResponse{}, s.callerView(r).KeepAlive(r.Context(), lease))
}

func (s *Server) deleteLease(w http.ResponseWriter, r *http.Request) {
	lease, ok := parseLease(w, r)
	if !ok {
		return
	}
	respondOrFail(w, emptyResponse{}, s.callerView(r).Revoke(r.Context(), lease))
}

func parseLease(w http.ResponseWriter, r *http.Request) (platformcaller.LeaseID, bool) {
	lease, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	if err != nil {
		refuseRequest(w, "lease: not a number")
		return 0, false
	}
	return platformcaller.LeaseID(lease), true
}

func (s *Server) postVMs(w http.ResponseWriter, r *http.Request) {
	var req registerRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	ttl := time.Duration(req.TTLMillis) * time.Millisecond
	respondOrFail(w, emptyResponse{}, s.service.Register(r.Context(), req.VMs, ttl))
}

func (s *Server) deleteVMs(w http.ResponseWriter, r *http.Request) {
	var req removeRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	respondOrFail(w, emptyResponse{}, s.service.Remove(r.Context(), req.IDs))
}
