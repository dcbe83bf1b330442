package platformcaller

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Defaults of the timeouts in Options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultWatchTimeout = 60 * time.Second
)

// maxClientConnections bounds a Client's connections to the service. Each waiting
// watch uses one.
const maxClientConnections = 64

// maxResponseSize bounds the body of a response, in bytes. The largest is the list of
// VMs.
const maxResponseSize = 32 << 20

// Options configure a Client.
type Options struct {
	BaseURL       string                   // such as http://127.0.0.1:7070
	Caller        identifier.VMID          // sent in CallerHeader
	FailureDomain identifier.FailureDomain // sent in FailureDomainHeader
	Timeout       time.Duration            // of each call except a watch; 0 means DefaultTimeout
	WatchTimeout  time.Duration            // of a watch; 0 means DefaultWatchTimeout
}

// Client calls the service over HTTP. It implements Store, Lister and
// Leaser. It retries no call.
type Client struct {
	opts      Options
	transport *http.Transport
}

var (
	_ Store  = (*Client)(nil)
	_ Lister = (*Client)(nil)
	_ Leaser = (*Client)(nil)
)

// New returns a Client without connecting. It returns an error if BaseURL is invalid.
func New(opts Options) (c *Client, err error) {
	defer func() { err = errors.Wrap(err, "creating the platform's client") }()
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

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}
