package operatorserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/burnreporter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

const (
	maxAnswerSize  = 8 << 20 // bytes
	changeAttempts = 3
	changePause    = 500 * time.Millisecond // between attempts
)

// RefusedError says that the server answered a request with an error and a cause.
type RefusedError struct {
	Status      int // HTTP status code
	Cause       Cause
	Detail      string
	FieldErrors []profileparser.FieldError
	Base        identifier.ProfileVersion
	Current     *profilekeeper.Entry   // of a conflict
	Changes     []profilekeeper.Change // of a conflict, since Base
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s (%s)", e.Detail, e.Cause) }

// UnreachableError says that no answer came, or only an error status without a
// cause.
type UnreachableError struct{ err error }

// Error implements error.
func (e *UnreachableError) Error() string { return "no answer: " + e.err.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.err }

// Client calls the operators' API.
type Client struct {
	Server     string // URL
	Token      string // bearer token; empty sends none
	HTTPClient *http.Client
}

// Change submits operations under a change id. They are all applied or all
// refused. A request without an answer is repeated; if every attempt stays
// without one, the error is *UnreachableError, and the same call with the same id
// returns the outcome later.
func (c *Client) Change(ctx context.Context, id identifier.ChangeID, reason string, operations []profilekeeper.Operation) (accepted profilekeeper.Acceptance, err error) {
	body := changeRequest{ChangeID: id, Reason: reason}
	for _, o := range operations {
		body.Operations = append(body.Operations, encodeOperation(o))
	}
	for n := range changeAttempts {
		if n > 0 && sleeper.Sleep(ctx, changePause) != nil {
			break
		}
		err = c.call(ctx, http.MethodPost, "changes", body, &accepted)
		if !is[*UnreachableError](err) {
			break
		}
	}
	return accepted, err
}

// Profiles returns the profiles in force.
func (c *Client) Profiles(ctx context.Context) (list ProfileList, err error) {
	err = c.call(ctx, http.MethodGet, "profiles", nil, &list)
	return list, err
}

// Profile returns one profile with its changes.
func (c *Client) Profile(ctx context.Context, name identifier.ProfileName) (detail ProfileDetail, err error) {
	err = c.call(ctx, http.MethodGet, "profiles/"+url.PathEscape(string(name)), nil, &detail)
	return detail, err
}

// History returns the newest changes.
func (c *Client) History(ctx context.Context, limit int) (h History, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("history?limit=%d", limit), nil, &h)
	return h, err
}

// Tokens returns all tokens without their secrets and hashes.
func (c *Client) Tokens(ctx context.Context) (tokens []TokenInfo, err error) {
	err = c.call(ctx, http.MethodGet, "tokens", nil, &tokens)
	return tokens, err
}

// Evacuations returns the evacuated failure domains.
func (c *Client) Evacuations(ctx context.Context) (evacuations []profilekeeper.Evacuation, err error) {
	err = c.call(ctx, http.MethodGet, "evacuations", nil, &evacuations)
	return evacuations, err
}

// Burn returns the service-level burn report of all entry VMs.
func (c *Client) Burn(ctx context.Context) (report burnreporter.Report, err error) {
	err = c.call(ctx, http.MethodGet, "burn", nil, &report)
	return report, err
}

// Status returns the version of the profiles in force on each VM.
func (c *Client) Status(ctx context.Context) (statuses []VMStatus, err error) {
	err = c.call(ctx, http.MethodGet, "status", nil, &statuses)
	return statuses, err
}

// Handover returns the handover package for a new operator.
func (c *Client) Handover(ctx context.Context) (h Handover, err error) {
	err = c.call(ctx, http.MethodGet, "handover", nil, &h)
	return h, err
}

// call sends one request and decodes the body of its answer.
func (c *Client) call(ctx context.Context, method, path string, body, into any) (err error) {
	defer func() { err = errors.Wrapf(err, "%s %s", method, path) }()
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		payload = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Server, "/")+pathPrefix+path, payload)
	if err != nil {
		return err
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	answer, err := c.HTTPClient.Do(r)
	if err != nil {
		return &UnreachableError{err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerSize))
	if err != nil {
		return &UnreachableError{err: err}
	}
	if answer.StatusCode != http.StatusOK {
		return responseError(answer.StatusCode, data)
	}
	return json.Unmarshal(data, into)
}

// responseError returns the error for an answer with an error status.
func responseError(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Cause == "" {
		return &UnreachableError{err: errors.Newf("status %d without a cause in the body", status)}
	}
	e := body.Error
	return &RefusedError{
		Status: status, Cause: e.Cause, Detail: e.Detail, FieldErrors: e.FieldErrors, Base: e.Base, Current: e.Current, Changes: e.Changes,
	}
}
