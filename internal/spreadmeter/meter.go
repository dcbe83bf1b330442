// Package spreadmeter measures how long changes of profiles take to be in force
// on every entry VM, and how many are refused.
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
	pollInterval = 5 * time.Millisecond
	callTimeout  = 25 * time.Second
	maxTries     = 50
	profileName  = "spreadMeter" // the profile that is changed again and again
)

// Options configure a measurement.
type Options struct {
	Servers  []string // URLs of the operators' API of every entry VM
	Token    string
	Changes  int           // to be accepted; refused ones are tried again, within maxTries for each
	Interval time.Duration // between two changes
	Limit    time.Duration // after which a VM without a change counts as late
}

// Report is what was measured. Times run from the sending of a change until the
// last VM has it in force.
type Report struct {
	Accepted  int           `json:"accepted"`
	Refused   int           `json:"refused"`   // as not made
	Unsettled int           `json:"unsettled"` // without an answer that tells
	Late      int           `json:"late"`      // accepted, and not in force everywhere within the limit
	WentBack  int           `json:"wentBack"`  // VMs seen at an older version than before
	P50       time.Duration `json:"p50Nanos"`
	P99       time.Duration `json:"p99Nanos"`
	Worst     time.Duration `json:"worstNanos"`
}

// meter is the state of a measurement.
type meter struct {
	opts    Options
	clients []*operatorserver.Client
	newest  []identifier.ProfileVersion // seen at each server
	times   []time.Duration
	report  Report
}

// Run measures.
func Run(ctx context.Context, opts Options) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "measuring the spread of changes") }()
	m := &meter{opts: opts, newest: make([]identifier.ProfileVersion, len(opts.Servers))}
	for _, server := range opts.Servers {
		m.clients = append(m.clients, &operatorserver.Client{
			Server: server, Token: opts.Token, HTTP: &http.Client{Timeout: callTimeout},
		})
	}
	for n := 0; m.report.Accepted < opts.Changes && n < maxTries*opts.Changes; n++ {
		if err := m.change(ctx, n); err != nil {
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

// change makes one change through one VM and waits for it on all.
func (m *meter) change(ctx context.Context, n int) error {
	client := m.clients[n%len(m.clients)]
	operation, err := m.next(ctx, client, n)
	if err != nil {
		return err
	}
	sent := time.Now()
	accepted, err := client.Change(ctx, identifier.ChangeID(uuid.NewString()), fmt.Sprintf("measurement %d", n), []profilekeeper.Operation{operation})
	var refused *operatorserver.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Cause != operatorserver.OutcomeUnknown:
		m.report.Refused++
		return nil
	case err != nil:
		m.report.Unsettled++
		return nil
	}
	m.report.Accepted++
	if m.await(ctx, accepted.Last) {
		m.times = append(m.times, time.Since(sent))
	} else {
		m.report.Late++
	}
	return ctx.Err()
}

// next returns the next change of the measured profile.
func (m *meter) next(ctx context.Context, client *operatorserver.Client, n int) (profilekeeper.Operation, error) {
	p := profileparser.Default()
	p.Name, p.Weight = profileName, 1+n%profileparser.MaxWeight
	detail, err := client.Profile(ctx, profileName)
	var refused *operatorserver.RefusedError
	if errors.As(err, &refused) && refused.Cause == operatorserver.Unknown {
		return profilekeeper.CreateProfile{Profile: p}, nil
	}
	return profilekeeper.ChangeProfile{Profile: p, Base: detail.Entry.Version}, err
}

// await waits until a version is in force on every VM, and reports whether it
// is within the limit.
func (m *meter) await(ctx context.Context, version identifier.ProfileVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Limit)
	defer cancel()
	var group errgroup.Group
	back := make([]bool, len(m.clients))
	for i, client := range m.clients {
		group.Go(func() error { return m.awaitOne(ctx, i, client, version, &back[i]) })
	}
	err := group.Wait()
	m.report.WentBack += len(slices.DeleteFunc(back, func(b bool) bool { return !b }))
	return err == nil
}

func (m *meter) awaitOne(ctx context.Context, i int, client *operatorserver.Client, version identifier.ProfileVersion, back *bool) error {
	for {
		list, err := client.Profiles(ctx)
		if err == nil {
			*back = *back || list.Version < m.newest[i]
			m.newest[i] = max(m.newest[i], list.Version)
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
	slices.Sort(m.times)
	if n := len(m.times); n > 0 {
		m.report.P50 = m.times[(n-1)*50/100]
		m.report.P99 = m.times[(n-1)*99/100]
		m.report.Worst = m.times[n-1]
	}
	return m.report
}
