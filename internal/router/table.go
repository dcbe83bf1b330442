// Package router finds the route of a request in the table that operators have
// put in force.
package router

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Version numbers the tables that operators put in force. It only grows.
type Version uint64

// Route says how the jobs of one kind are treated.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path; the longest one that fits counts
	Pool        identifier.PoolID
	Priority    int     // 0 goes first
	MaxAttempts int     // runs of a task that may fail
	Slack       float64 // the objective is this many times the job's work, and Target more
	Target      time.Duration
	NeedsAdvice bool // a service of the platform names the servers that may run its tasks
}

// Table is one version of the routes.
type Table struct {
	Version Version
	Routes  []Route
	// MaxBody bounds the body of a request; 0: not said.
	MaxBody identifier.Bytes
}

// Match returns the route with the longest prefix of the path, and the rest of
// the path.
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

// Encode returns the form in which VMs hand the table to each other.
func (t *Table) Encode() (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encoding routes of version %d", t.Version) }()
	return cbor.Marshal(t)
}

// Decode reads what Encode returned.
func Decode(data []byte) (t *Table, err error) {
	defer func() { err = errors.Wrap(err, "decoding routes") }()
	t = &Table{}
	if err := cbor.Unmarshal(data, t); err != nil {
		return nil, err
	}
	return t, nil
}
