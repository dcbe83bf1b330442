package platformserver

import (
	"net/http"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// maxFaultDuration bounds the delay and the list lag that can be set.
const maxFaultDuration = time.Hour

// faultsBody is the body of a request that sets faults and of the answers. A field
// that is absent from a request keeps its setting.
type faultsBody struct {
	Down                    bool                       `json:"down"`
	DelayMillis             int64                      `json:"delayMillis"`
	LoseResponses           int                        `json:"loseAnswers"`
	LoseResponseProbability float64                    `json:"loseAnswerProbability"`
	ListLagMillis           int64                      `json:"listLagMillis"`
	CutCallers              []identifier.VMID          `json:"cutCallers"`
	CutFailureDomains       []identifier.FailureDomain `json:"cutFailureDomains"`
	LapseLeases             []platformcaller.LeaseID   `json:"lapseLeases,omitempty"` // leases that lapse at once; not a setting
}

func newFaultsBody(f platformcaller.Faults) faultsBody {
	return faultsBody{
		Down:                    f.Down,
		DelayMillis:             f.Delay.Milliseconds(),
		LoseResponses:           f.LoseResponses,
		LoseResponseProbability: f.LoseResponseProbability,
		ListLagMillis:           f.ListLag.Milliseconds(),
		CutCallers:              f.CutCallers,
		CutFailureDomains:       f.CutFailureDomains,
	}
}

func (b faultsBody) faults() platformcaller.Faults {
	return platformcaller.Faults{
		Down:                    b.Down,
		Delay:                   time.Duration(b.DelayMillis) * time.Millisecond,
		LoseResponses:           b.LoseResponses,
		LoseResponseProbability: b.LoseResponseProbability,
		ListLag:                 time.Duration(b.ListLagMillis) * time.Millisecond,
		CutCallers:              b.CutCallers,
		CutFailureDomains:       b.CutFailureDomains,
	}
}

// validate returns the first invalid field and the reason, or "" if all are valid.
func (b faultsBody) validate() string {
	switch {
	case b.DelayMillis < 0 || b.DelayMillis > maxFaultDuration.Milliseconds():
		return "delayMillis: not from 0 to 3600000"
	case b.LoseResponses < 0:
		return "loseAnswers: negative"
	case b.LoseResponseProbability < 0 || b.LoseResponseProbability > 1:
		return "loseAnswerProbability: not from 0 to 1"
	case b.ListLagMillis < 0 || b.ListLagMillis > maxFaultDuration.Milliseconds():
		return "listLagMillis: not from 0 to 3600000"
	default:
		return ""
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, newFaultsBody(s.service.Faults()))
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	body := newFaultsBody(s.service.Faults())
	if !decodeRequest(w, r, &body) {
		return
	}
	if problem := body.validate(); problem != "" {
		refuseRequest(w, problem)
		return
	}
	s.service.SetFaults(body.faults())
	for _, lease := range body.LapseLeases {
		s.service.Lapse(lease)
	}
	respond(w, http.StatusOK, newFaultsBody(s.service.Faults()))
}
