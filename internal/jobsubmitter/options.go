package jobsubmitter

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults and bounds of Options.
const (
	DefaultAttempts       = 4
	DefaultRequestTimeout = 30 * time.Second
	DefaultBackoff        = 20 * time.Millisecond
	DefaultMaxBackoff     = 2 * time.Second
	DefaultProbeInterval  = 250 * time.Millisecond
	DefaultAnswerLimit    = 64 << 20 // bytes

	maxAddresses          = 1024
	idleConnectionsPerVM  = 512
	connectTimeout        = time.Second
	probeTimeout          = time.Second
	probeAnswerLimit      = 64 << 10 // bytes
	retryBudgetCapacity   = 100.0    // retries that can be saved up
	retryBudgetPerRequest = 0.2      // retries that each first attempt earns
	maxRetryAfter         = 30 * time.Second
	fetchWait             = 5 * time.Second // longest wait of one fetch in Await
	minRequestTimeout     = 10 * time.Millisecond
)

// Options configures a Submitter. The zero value of a field takes its default.
type Options struct {
	// Addresses are the entry VMs' addresses for callers, as IP and port.
	Addresses []string
	// Scheme is http, the default, or https.
	Scheme string
	// Token is the bearer token that names the caller's team.
	Token string
	// Attempts bounds the attempts of one request, the first included.
	Attempts int
	// RequestTimeout bounds one attempt.
	RequestTimeout time.Duration
	// Backoff is the longest pause before the second attempt. It doubles with
	// each further attempt, up to MaxBackoff. The pause is drawn uniformly
	// between 0 and that bound.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeInterval is the time between two probes of an entry VM's readiness.
	ProbeInterval time.Duration
	// AnswerLimit bounds the body of one answer, in bytes.
	AnswerLimit int64
	// ReturnRefusals returns a refusal at once, even if it says when to retry.
	ReturnRefusals bool
	// Seed seeds the random choice of entry VMs and the jitter of pauses.
	Seed uint64
	// Transport overrides the HTTP transport.
	Transport http.RoundTripper
}

func (o Options) validate() error {
	if len(o.Addresses) == 0 {
		return errors.New("addresses: at least one entry VM is needed")
	}
	if len(o.Addresses) > maxAddresses {
		return errors.Newf("addresses: %d entry VMs are more than %d", len(o.Addresses), maxAddresses)
	}
	for _, address := range o.Addresses {
		if address == "" || strings.ContainsAny(address, "/ ") {
			return errors.Newf("addresses: %q is not a host and port", address)
		}
	}
	if o.Scheme != "" && o.Scheme != "http" && o.Scheme != "https" {
		return errors.Newf("scheme: %q is neither http nor https", o.Scheme)
	}
	if o.Attempts < 0 {
		return errors.Newf("attempts: %d is below 0", o.Attempts)
	}
	if o.RequestTimeout != 0 && o.RequestTimeout < minRequestTimeout {
		return errors.Newf("requestTimeout: %v is below %v", o.RequestTimeout, minRequestTimeout)
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Scheme, "http")
	setDefault(&o.Attempts, DefaultAttempts)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.AnswerLimit, DefaultAnswerLimit)
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnectionsPerVM,
		DisableCompression:  true,
	}
}
