package platformcaller

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Defaults of a Client's options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultWatchTimeout = 60 * time.Second
)

// maxClientConnections bounds a Client's connections to the service, of which
// each waiting watch takes one.
const maxClientConnections = 64

// maxResponseSize bounds the answers that a Client reads, in bytes. The list of
// VMs is the largest.
const maxResponseSize = 32 << 20

// Options are the options of a Client.
type Options struct {
	BaseURL       string // such as http://127.0.0.1:7070
	Caller        identifier.VMID
	FailureDomain identifier.FailureDomain
	Timeout       time.Duration // of each call but a watch; 0 takes DefaultTimeout
	WatchTimeout  time.Duration // of a watch; 0 takes DefaultWatchTimeout
}

// Client calls the platform's service over HTTP. It implements Store, Lister
// and Leaser. It repeats no call.
type Client struct {
	opts      Options
	transport *http.Transport
}

var (
	_ Store  = (*Client)(nil)
	_ Lister = (*Client)(nil)
	_ Leaser = (*Client)(nil)
)

// New returns a Client. It makes no connection yet.
func New(opts Options) (c *Client, err error) {
	defer func() { err = errors.Wrap(err, "making the platform's client") }()
	base, err := url.Parse(opts.BaseURL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Newf("base URL: %q is not of the form http://address:port", opts.BaseURL)
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = DefaultWatchTimeout
	}
	transport := &http.Transport{
		MaxConnsPerHost:     maxClientConnections,
		MaxIdleConnsPerHost: maxClientConnections,
	}
	return &Client{opts: opts, transport: transport}, nil
}

// Close closes the connections that no call uses.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}
