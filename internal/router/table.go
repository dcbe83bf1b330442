// Package router finds the route of a request in the routing table that operators
// have put in force.
package router

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Version is the version number of a table that operators put in force. It only
// increases.
type Version uint64

// Route defines how jobs that match a host and a path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path; the longest matching one wins
	Pool        identifier.PoolID
	Priority    int     // 0 is the highest
	MaxAttempts int     // how often a task is run if its runs fail
	Slack       float64 // a job's objective is Slack times its estimated run time, plus Target
	Target      time.Duration
	NeedsAdvice bool // its tasks may run only on servers that a service of the platform recommends for them
}

// Table is one version of the routes.
type Table struct {
	Version Version
	Routes  []Route
	// Unguarded lists the pools whose backend servers start what they are told to, also
	// beyond their capacity.
	Unguarded []identifier.PoolID `cbor:",omitempty"`
	// MaxBody bounds the body of a request; 0 means that the table sets no bound.
	MaxBody identifier.Bytes
}

// Match returns the route of the host with the longest prefix of the path, and the
// rest of the path. It ignores the case of the host and a port after it. ok is false
// if no route matches.
func (t *Table) Match(host, path string) (route Route, rest string, ok bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.Routes {
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if !ok || len(r.Prefix) > len(route.Prefix) {
			route, ok = r, true
		}
	}
	return route, strings.TrimPrefix(path, route.Prefix), ok
}

// Encode returns the CBOR encoding in which VMs send the table to each other.
func (t *Table) Encode() (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encoding routing table of version %d", t.Version) }()
	return cbor.Marshal(t)
}

// Decode decodes a table that Encode encoded.
func Decode(data []byte) (t *Table, err error) {
	defer func() { err = errors.Wrap(err, "decoding routing table") }()
	t = &Table{}
	if err := cbor.Unmarshal(data, t); err != nil {
		return nil, err
	}
	return t, nil
}
