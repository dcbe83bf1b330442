package platformcaller

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// valueResponse is the response to a read, a watch or a write.
type valueResponse struct {
	Revision Revision `json:"revision"`
	Data     []byte   `json:"data"`
}

type vmsResponse struct {
	VMs []VM `json:"vms"`
}

type countersResponse struct {
	Callers map[identifier.VMID]Counters `json:"callers"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "getting key %q", key) }()
	var resp valueResponse
	err = c.do(ctx, call{method: http.MethodGet, path: keyPath(key), timeout: c.opts.Timeout}, &resp)
	return resp.value(), err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after Revision) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "watching key %q", key) }()
	var resp valueResponse
	path := fmt.Sprintf("%s?after=%d", keyPath(key), after)
	err = c.do(ctx, call{method: http.MethodGet, path: path, timeout: c.opts.WatchTimeout}, &resp)
	return resp.value(), err
}

// VMs implements Lister.
func (c *Client) VMs(ctx context.Context) (vms []VM, err error) {
	defer func() { err = errors.Wrap(err, "listing VMs") }()
	var resp vmsResponse
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/vms", timeout: c.opts.Timeout}, &resp)
	return resp.VMs, err
}

// Counters returns the stand-in's call counts by caller. This call itself is not
// counted.
func (c *Client) Counters(ctx context.Context) (counters map[identifier.VMID]Counters, err error) {
	defer func() { err = errors.Wrap(err, "reading the call counts") }()
	var resp countersResponse
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/counters", timeout: c.opts.Timeout}, &resp)
	return resp.Callers, err
}

func (r valueResponse) value() Value {
	return Value{Data: r.Data, Revision: r.Revision}
}
