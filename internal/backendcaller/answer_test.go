package backendcaller

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzAnswers decodes arbitrary answers to a start. It guards against a result
// or a refusal that is read from an answer which is not in the protocol's form.
func FuzzAnswers(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"ending":"succeeded","runMicros":20,"output":{"checksum":"0"}}`))
	f.Add(http.StatusOK, []byte(`{"ending":"leaseLapsed","detail":"late","runMicros":-1}`))
	f.Add(http.StatusOK, []byte(`{}`))
	f.Add(http.StatusServiceUnavailable, []byte(`{"refused":"full"}`))
	f.Add(http.StatusServiceUnavailable, []byte(`{"refused":""}`))
	f.Add(http.StatusBadGateway, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		var resp endingResponse
		err := decodeAnswer(status, data, &resp)
		var refused *statusError
		switch {
		case errors.As(err, &refused):
			if status == http.StatusOK || refused.refusal.Refused == "" {
				t.Errorf("status %d with %q counts as a refusal", status, data)
			}
		case err == nil:
			if result, ok := resp.result(); ok != (result != nil) || status != http.StatusOK {
				t.Errorf("status %d with %q gives %#v, %v", status, data, result, ok)
			}
		}
	})
}
