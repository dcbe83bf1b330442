package platformcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that tell the service who calls.
const (
	CallerHeader        = "Platform-Caller"
	FailureDomainHeader = "Platform-Caller-Failure-Domain"
)

// call is one HTTP request to the service.
type call struct {
	method  string
	path    string
	timeout time.Duration
	isWrite bool // if its response is lost, the outcome is unknown
	request any  // the body, encoded as JSON; none if nil
}

// errorResponse is the body of a response with a status other than 200.
type errorResponse struct {
	Error    string   `json:"error"`
	Detail   string   `json:"detail"`
	Revision Revision `json:"revision"` // with a conflict: the current value's
	Data     []byte   `json:"data"`     // with a conflict: the current value's
}

func keyPath(key string) string {
	return "/v1/keys/" + url.PathEscape(key)
}

// do makes the call and decodes the response's body into response. A write that fails
// after a connection was made may have taken effect.
func (c *Client) do(ctx context.Context, call call, response any) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, body, err := c.exchange(ctx, call)
	switch {
	case err != nil && call.isWrite && connected.Load():
		return &OutcomeUnknownError{Detail: err.Error()}
	case err != nil:
		return &UnavailableError{Detail: err.Error()}
	case status != http.StatusOK:
		return decodeError(status, body, call.isWrite)
	}
	if err := json.Unmarshal(body, response); err != nil {
		return undecodableError(err, call.isWrite)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, call call) (status int, body []byte, err error) {
	r, err := c.newRequest(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if len(body) > maxResponseSize {
		return 0, nil, errors.New("the answer is above its bound")
	}
	return resp.StatusCode, body, err
}

func (c *Client) newRequest(ctx context.Context, call call) (*http.Request, error) {
	var body io.Reader
	if call.request != nil {
		data, err := json.Marshal(call.request)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, call.method, c.opts.BaseURL+call.path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(CallerHeader, string(c.opts.Caller))
	r.Header.Set(FailureDomainHeader, string(c.opts.FailureDomain))
	return r, nil
}

// decodeError returns the error for a response with a status other than 200. Only a
// body in the service's own format proves that a write had no effect.
func decodeError(status int, body []byte, isWrite bool) error {
	var e errorResponse
	if err := json.Unmarshal(body, &e); err != nil {
		return undecodableError(errors.Wrapf(err, "status %d", status), isWrite)
	}
	switch e.Error {
	case "conflict":
		return &ConflictError{Current: Value{Data: e.Data, Revision: e.Revision}}
	case "unavailable":
		return &UnavailableError{Detail: e.Detail}
	case "leaseLapsed":
		return &LeaseLapsedError{}
	case "badRequest":
		return &BadRequestError{Detail: e.Detail}
	default:
		return undecodableError(errors.Newf("status %d, error %q", status, e.Error), isWrite)
	}
}

// undecodableError returns the error for a response that could not be decoded.
func undecodableError(err error, isWrite bool) error {
	if isWrite {
		return &OutcomeUnknownError{Detail: err.Error()}
	}
	return &UnavailableError{Detail: err.Error()}
}
