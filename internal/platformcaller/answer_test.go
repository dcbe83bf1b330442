package platformcaller

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzAnswers decodes arbitrary responses to a write with a status other than 200.
// Each must give an error, and an error other than OutcomeUnknownError only if the
// body is an errorResponse that names its error.
func FuzzAnswers(f *testing.F) {
	f.Add(http.StatusConflict, []byte(`{"error":"conflict","revision":3,"data":"b25l"}`))
	f.Add(http.StatusServiceUnavailable, []byte(`{"error":"unavailable","detail":"down"}`))
	f.Add(http.StatusNotFound, []byte(`{"error":"leaseLapsed"}`))
	f.Add(http.StatusBadRequest, []byte(`{"error":"badRequest"}`))
	f.Add(http.StatusBadGateway, []byte(`<html>`))
	f.Add(http.StatusNotFound, []byte(`{"error":"notFound"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		err := decodeError(status, body, true)
		var unknown *OutcomeUnknownError
		if errors.As(err, &unknown) {
			return
		}
		var e errorResponse
		if decodeErr := json.Unmarshal(body, &e); err == nil || decodeErr != nil || e.Error == "" {
			t.Errorf("status %d with %q gives %v", status, body, err)
		}
	})
}
