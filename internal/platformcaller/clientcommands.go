package platformcaller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

type swapRequest struct {
	Expected Revision `json:"expected"`
	Data     []byte   `json:"data"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

type grantRequest struct {
	TTLMillis int64 `json:"ttlMillis"`
}

type grantResponse struct {
	Lease LeaseID `json:"lease"`
}

type registerRequest struct {
	VMs       []VM  `json:"vms"`
	TTLMillis int64 `json:"ttlMillis,omitempty"`
}

type removeRequest struct {
	IDs []string `json:"ids"`
}

type emptyResponse struct{}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte) (Revision, error) {
	return c.CompareAndSwapLeased(ctx, key, expected, data, 0)
}

// CompareAndSwapLeased implements Leaser.
func (c *Client) CompareAndSwapLeased(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (r Revision, err error) {
	defer func() { err = errors.Wrapf(err, "writing key %q", key) }()
	if err := checkWrite(key, data); err != nil {
		return 0, err
	}
	var resp valueResponse
	req := swapRequest{Expected: expected, Data: data, Lease: lease}
	err = c.command(ctx, http.MethodPut, keyPath(key), req, &resp)
	return resp.Revision, withLease(err, lease)
}

// Grant implements Leaser.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease LeaseID, err error) {
	defer func() { err = errors.Wrap(err, "granting a lease") }()
	var resp grantResponse
	err = c.command(ctx, http.MethodPost, "/v1/leases", grantRequest{TTLMillis: ttl.Milliseconds()}, &resp)
	return resp.Lease, err
}

// KeepAlive implements Leaser.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "renewing a lease") }()
	err = c.command(ctx, http.MethodPost, fmt.Sprintf("/v1/leases/%d/keepalive", lease), nil, &emptyResponse{})
	return withLease(err, lease)
}

// Revoke implements Leaser.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) (err error) {
	defer func() { err = errors.Wrap(err, "revoking a lease") }()
	return c.command(ctx, http.MethodDelete, fmt.Sprintf("/v1/leases/%d", lease), nil, &emptyResponse{})
}

// Register adds VMs to the stand-in's list or replaces them. They are removed after
// ttl unless they are registered again; ttl 0 keeps them until Remove.
func (c *Client) Register(ctx context.Context, vms []VM, ttl time.Duration) (err error) {
	defer func() { err = errors.Wrap(err, "registering VMs") }()
	req := registerRequest{VMs: vms, TTLMillis: ttl.Milliseconds()}
	return c.command(ctx, http.MethodPost, "/v1/vms", req, &emptyResponse{})
}

// Remove removes VMs from the stand-in's list.
func (c *Client) Remove(ctx context.Context, ids []string) (err error) {
	defer func() { err = errors.Wrap(err, "removing VMs") }()
	return c.command(ctx, http.MethodDelete, "/v1/vms", removeRequest{IDs: ids}, &emptyResponse{})
}

func (c *Client) command(ctx context.Context, method, path string, request, response any) error {
	return c.do(ctx, call{method: method, path: path, timeout: c.opts.Timeout, isWrite: true, request: request}, response)
}

// withLease sets the lease in a LeaseLapsedError, since the service's response doesn't
// name it.
func withLease(err error, lease LeaseID) error {
	var lapsed *LeaseLapsedError
	if errors.As(err, &lapsed) {
		lapsed.Lease = lease
	}
	return err
}
