// Package spreadmeter measures how long profile changes take until they are in force
// on every entry VM, and how many requests are refused. Each request makes one
// change.
package spreadmeter

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const (
	pollInterval         = 5 * time.Millisecond
	callTimeout          = 25 * time.Second
	maxAttemptsPerChange = 50
	profileName          = "spreadMeter" // the profile that the measurement changes
)

// Options configures a measurement.
type Options struct {
	Servers   []string // URLs of the operators' API on every entry VM
	Token     string
	Changes   int           // number of accepted changes to measure; at most maxAttemptsPerChange times as many requests are sent
	Interval  time.Duration // from the end of one request to the next
	LateAfter time.Duration // time after which an accepted change that is not in force on every VM counts as late
}

// Report holds the results of a measurement. Durations are from sending a request
// until its change is in force on the last VM.
type Report struct {
	Accepted         int           `json:"accepted"`
	Refused          int           `json:"refused"`   // requests whose change was certainly not made
	OutcomeUnknown   int           `json:"unsettled"` // requests without an answer that shows whether the change was made
	Late             int           `json:"late"`      // accepted, but not in force on every VM within Options.LateAfter
	VersionDecreases int           `json:"wentBack"`  // observations of a VM at an older version than before, at most one per VM and change
	P50              time.Duration `json:"p50Nanos"`
	P99              time.Duration `json:"p99Nanos"`
	Worst            time.Duration `json:"worstNanos"`
}

// meter holds the state of a measurement.
type meter struct {
	opts       Options
	clients    []*operatorserver.Client
	newestSeen []identifier.ProfileVersion // newest version seen at each server
	delays     []time.Duration
	report     Report
}

// Run performs a measurement. If it fails, it returns no partial results.
func Run(ctx context.Context, opts Options) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "measuring the spread of profile changes") }()
	m := &meter{opts: opts, newestSeen: make([]identifier.ProfileVersion, len(opts.Servers))}
	for _, server := range opts.Servers {
		m.clients = append(m.clients, &operatorserver.Client{
			Server: server, Token: opts.Token, HTTPClient: &http.Client{Timeout: callTimeout},
		})
	}
	for n := 0; m.report.Accepted < opts.Changes && n < maxAttemptsPerChange*opts.Changes; n++ {
		if err := m.measureChange(ctx, n); err != nil {
			return r, err
		}
		select {
		case <-time.After(opts.Interval):
		case <-ctx.Done():
			return r, ctx.Err()
		}
	}
	return m.summary(), nil
}

// measureChange sends one request through one VM and waits until its change is in
// force on all of them.
func (m *meter) measureChange(ctx context.Context, n int) error {
	client := m.clients[n%len(m.clients)]
	operation, err := m.nextOperation(ctx, client, n)
	if err != nil {
		return err
	}
	sent := time.Now()
	accepted, err := client.Change(ctx, identifier.ChangeID(uuid.NewString()), fmt.Sprintf("measurement %d", n), []profilekeeper.Operation{operation})
	var refused *operatorserver.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Cause != operatorserver.CauseOutcomeUnknown:
		m.report.Refused++
		return nil
	case err != nil:
		m.report.OutcomeUnknown++
		return nil
	}
	m.report.Accepted++
	if m.awaitOnAll(ctx, accepted.Last) {
		m.delays = append(m.delays, time.Since(sent))
	} else {
		m.report.Late++
	}
	return ctx.Err()
}

// nextOperation returns the operation that makes the next change to the profile.
func (m *meter) nextOperation(ctx context.Context, client *operatorserver.Client, n int) (profilekeeper.Operation, error) {
	p := profileparser.Default()
	p.Name, p.Weight = profileName, 1+n%profileparser.MaxWeight
	detail, err := client.Profile(ctx, profileName)
	var refused *operatorserver.RefusedError
	if errors.As(err, &refused) && refused.Cause == operatorserver.CauseUnknown {
		return profilekeeper.CreateProfile{Profile: p}, nil
	}
	return profilekeeper.ChangeProfile{Profile: p, Base: detail.Entry.Version}, err
}

// awaitOnAll waits until a version is in force on every VM, and reports whether that
// happens within LateAfter.
func (m *meter) awaitOnAll(ctx context.Context, version identifier.ProfileVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, m.opts.LateAfter)
	defer cancel()
	var group errgroup.Group
	decreased := make([]bool, len(m.clients))
	for i, client := range m.clients {
		group.Go(func() error { return m.awaitOnServer(ctx, i, client, version, &decreased[i]) })
	}
	err := group.Wait()
	m.report.VersionDecreases += len(slices.DeleteFunc(decreased, func(b bool) bool { return !b }))
	return err == nil
}

func (m *meter) awaitOnServer(ctx context.Context, i int, client *operatorserver.Client, version identifier.ProfileVersion, decreased *bool) error {
	for {
		list, err := client.Profiles(ctx)
		if err == nil {
			*decreased = *decreased || list.Version < m.newestSeen[i]
			m.newestSeen[i] = max(m.newestSeen[i], list.Version)
		}
		if err == nil && list.Version >= version {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *meter) summary() Report {
	slices.Sort(m.delays)
	if n := len(m.delays); n > 0 {
		m.report.P50 = m.delays[(n-1)*50/100]
		m.report.P99 = m.delays[(n-1)*99/100]
		m.report.Worst = m.delays[n-1]
	}
	return m.report
}
