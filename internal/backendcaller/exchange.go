package backendcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxResponseSize bounds an answer of a backend server, in bytes.
const maxResponseSize = 16 << 20

// requestBody is the body of a request. It records whether the transport has
// begun to read it; until then the server can't have received it.
type requestBody struct {
	bytes.Reader
	readBegun atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readBegun.Store(true)
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b *requestBody) Close() error {
	return nil
}

var jsonHeader = []string{"application/json"}

// newRequest returns a request with a JSON body, or without one if data is nil.
func newRequest(ctx context.Context, address, method, path string, data []byte) *http.Request {
	r := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: address, Path: path},
		Header: http.Header{},
		Host:   address,
	}
	if data != nil {
		body := &requestBody{}
		body.Reset(data)
		r.Body = body
		r.ContentLength = int64(len(data))
		r.Header["Content-Type"] = jsonHeader
	}
	return r.WithContext(ctx)
}

// statusError says that a server answered with a status other than 200.
type statusError struct {
	status  int
	refusal refusalResponse
}

// Error implements error.
func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.refusal.Refused + ": " + e.refusal.Detail
}

// exchange sends a request on a connection and decodes the answer into
// response. It returns *statusError if the server refuses the request.
func exchange(conn *http.ClientConn, r *http.Request, response any) error {
	resp, err := conn.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := readBody(resp)
	if err != nil {
		return err
	}
	return decodeAnswer(resp.StatusCode, data, response)
}

// decodeAnswer decodes an answer into response. It returns *statusError for a
// refusal.
func decodeAnswer(status int, data []byte, response any) error {
	if status == http.StatusOK {
		return json.Unmarshal(data, response)
	}
	e := &statusError{status: status}
	if err := json.Unmarshal(data, &e.refusal); err != nil || e.refusal.Refused == "" {
		return errors.Newf("status %d without a reason", status)
	}
	return e
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxResponseSize {
		return nil, errors.New("the answer is above its bound")
	}
	if resp.ContentLength >= 0 {
		data := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err == nil && len(data) > maxResponseSize {
		err = errors.New("the answer is above its bound")
	}
	return data, err
}
