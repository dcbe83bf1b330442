package loader

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of a run.
const (
	// maxInFlight bounds the requests that wait for an answer at one time. A job
	// that would exceed it is counted as not sent.
	maxInFlight = 20_000

	defaultAttempts       = 6
	defaultRequestTimeout = 30 * time.Second
	defaultDrain          = 2 * time.Minute
)

// Options configures a run. The zero value of a field takes its default.
type Options struct {
	Workload Workload
	// Slots is the number of slots of all backend servers together.
	Slots identifier.Slots
	// EntryVMs are the callers' addresses of the entry VMs, as IP and port.
	EntryVMs []string
	// BackendAdmin is the address of the admin API of the stand-in for backend
	// servers, as IP and port; empty leaves out the audit and its counters.
	BackendAdmin string
	// SharedProcess is true if the daemons run in one process with other parts, so
	// that its processor time and memory say nothing about a daemon.
	SharedProcess bool
	// Attempts bounds the attempts at one submission, the first included, and
	// RequestTimeout each attempt.
	Attempts       int
	RequestTimeout time.Duration
	// Drain bounds the wait for answers after the last arrival.
	Drain time.Duration
}

func (o Options) validate() error {
	if len(o.EntryVMs) == 0 {
		return errors.New("entryVMs: at least one address is needed")
	}
	addresses := o.EntryVMs
	if o.BackendAdmin != "" {
		addresses = append([]string{o.BackendAdmin}, addresses...)
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(err, "address %q", address)
		}
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if o.Drain == 0 {
		o.Drain = defaultDrain
	}
	return o
}
