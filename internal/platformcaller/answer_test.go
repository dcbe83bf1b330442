package platformcaller

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzAnswers decodes arbitrary answers other than 200 to a write. Each gives
// an error, and one that says that nothing was written only if the answer has
// the protocol's own form.
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
