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
// after CauseOutcomeUnknown.
const (
	CauseInvalid         Cause = "invalid"         // 400
	CauseUnauthenticated Cause = "unauthenticated" // 401
	CauseForbidden       Cause = "forbidden"       // 403
	CauseUnknown         Cause = "unknown"         // 404
	CauseConflict        Cause = "conflict"        // 409
	CauseExists          Cause = "exists"          // 409
	CauseRetired         Cause = "retired"         // 409
	CauseReusedID        Cause = "reusedId"        // 409
	CauseFull            Cause = "full"            // 507
	CauseNotMade         Cause = "notMade"         // 503
	CauseOutcomeUnknown  Cause = "outcomeUnknown"  // 504: repeat the request with the same change id
	CauseInternal        Cause = "internal"        // 500
)

// errorBody is the body of every answer with an error status.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Cause       Cause                      `json:"cause"`
	Detail      string                     `json:"detail"`
	FieldErrors []profileparser.FieldError `json:"faults,omitempty"`
	Base        identifier.ProfileVersion  `json:"base,omitempty"`
	Current     *profilekeeper.Entry       `json:"current,omitempty"`
	Changes     []profilekeeper.Change     `json:"changes,omitempty"` // since base
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
		detail.FieldErrors = invalid.FieldErrors
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
		return http.StatusUnauthorized, CauseUnauthenticated
	case is[*authenticator.ForbiddenError](err):
		return http.StatusForbidden, CauseForbidden
	case is[*badBodyError](err), is[*profilekeeper.InvalidRequestError](err), is[*profileparser.InvalidError](err):
		return http.StatusBadRequest, CauseInvalid
	case is[*profilekeeper.NotFoundError](err), is[*noSuchPathError](err):
		return http.StatusNotFound, CauseUnknown
	case is[*profilekeeper.ConflictError](err):
		return http.StatusConflict, CauseConflict
	case is[*profilekeeper.ExistsError](err):
		return http.StatusConflict, CauseExists
	case is[*profilekeeper.RetiredError](err):
		return http.StatusConflict, CauseRetired
	case is[*profilekeeper.ReusedIDError](err):
		return http.StatusConflict, CauseReusedID
	case is[*profilekeeper.BookFullError](err):
		return http.StatusInsufficientStorage, CauseFull
	case is[*profilewriter.NotMadeError](err):
		return http.StatusServiceUnavailable, CauseNotMade
	case is[*profilewriter.OutcomeUnknownError](err):
		return http.StatusGatewayTimeout, CauseOutcomeUnknown
	}
	return http.StatusInternalServerError, CauseInternal
}

// is reports whether err or an error that it wraps has the type T.
func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
