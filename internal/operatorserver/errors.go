package operatorserver

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// Cause says why a request was refused.
type Cause string

// The causes with their HTTP status codes. Nothing was changed, except possibly
// after OutcomeUnknown.
const (
	Invalid         Cause = "invalid"         // 400
	Unauthenticated Cause = "unauthenticated" // 401
	Forbidden       Cause = "forbidden"       // 403
	Unknown         Cause = "unknown"         // 404
	Conflict        Cause = "conflict"        // 409
	Exists          Cause = "exists"          // 409
	Retired         Cause = "retired"         // 409
	ReusedID        Cause = "reusedId"        // 409
	Full            Cause = "full"            // 507
	NotMade         Cause = "notMade"         // 503
	OutcomeUnknown  Cause = "outcomeUnknown"  // 504: repeat the request with the same change id
	Internal        Cause = "internal"        // 500
)

// errorBody is the body of every answer with an error status.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Cause   Cause                      `json:"cause"`
	Detail  string                     `json:"detail"`
	Faults  []profileparser.FieldError `json:"faults,omitempty"`
	Base    identifier.ProfileVersion  `json:"base,omitempty"`
	Current *profilekeeper.Entry       `json:"current,omitempty"`
	Changes []profilekeeper.Change     `json:"changes,omitempty"` // since base
}

// badBodyError says that a request's body is not the expected JSON.
type badBodyError struct{ err error }

func (e *badBodyError) Error() string { return "body: " + e.err.Error() }
func (e *badBodyError) Unwrap() error { return e.err }

// noSuchPathError says that the API has no such path or method.
type noSuchPathError struct{}

func (*noSuchPathError) Error() string { return "the operators' API has no such path and method" }

// errorAnswer returns the HTTP status code and the body for an error.
func errorAnswer(err error) (int, errorBody) {
	status, cause := classify(err)
	detail := errorDetail{Cause: cause, Detail: err.Error()}
	var invalid *profileparser.InvalidError
	if errors.As(err, &invalid) {
		detail.Faults = invalid.Faults
	}
	var conflict *profilekeeper.ConflictError
	if errors.As(err, &conflict) {
		detail.Base, detail.Current, detail.Changes = conflict.Base, &conflict.Current, conflict.Changes
	}
	return status, errorBody{Error: detail}
}

func classify(err error) (int, Cause) {
	switch {
	case is[*authenticator.UnauthenticatedError](err):
		return http.StatusUnauthorized, Unauthenticated
	case is[*authenticator.ForbiddenError](err):
		return http.StatusForbidden, Forbidden
	case is[*badBodyError](err), is[*profilekeeper.InvalidRequestError](err), is[*profileparser.InvalidError](err):
		return http.StatusBadRequest, Invalid
	case is[*profilekeeper.NotFoundError](err), is[*noSuchPathError](err):
		return http.StatusNotFound, Unknown
	case is[*profilekeeper.ConflictError](err):
		return http.StatusConflict, Conflict
	case is[*profilekeeper.ExistsError](err):
		return http.StatusConflict, Exists
	case is[*profilekeeper.RetiredError](err):
		return http.StatusConflict, Retired
	case is[*profilekeeper.ReusedIDError](err):
		return http.StatusConflict, ReusedID
	case is[*profilekeeper.BookFullError](err):
		return http.StatusInsufficientStorage, Full
	case is[*profilewriter.NotMadeError](err):
		return http.StatusServiceUnavailable, NotMade
	case is[*profilewriter.OutcomeUnknownError](err):
		return http.StatusGatewayTimeout, OutcomeUnknown
	}
	return http.StatusInternalServerError, Internal
}

// is reports whether err or an error that it wraps has the type T.
func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
