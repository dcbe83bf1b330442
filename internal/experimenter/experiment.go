package experimenter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/loader"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// Result holds the floor and the runs of one scenario, one run per policy.
type Result struct {
	Scenario Scenario `json:"scenario"`
	Floor    Floor    `json:"floor"`
	Runs     []Run    `json:"runs"`
}

// Run is the result of a scenario under one policy.
type Run struct {
	Policy        profileparser.Policy `json:"policy"`
	Report        loader.Report        `json:"report"`
	Journal       []JournalEntry       `json:"journal"`
	Recovery      Recovery             `json:"recovery"`
	MissedTargets []string             `json:"missed"` // targets that were not met
}

// Failed reports whether the load report of any run failed; see
// loader.Report.Failed.
func (r Result) Failed() bool {
	for _, run := range r.Runs {
		if run.Report.Failed() {
			return true
		}
	}
	return false
}

// RunScenario runs the scenario under each of its policies, one after the other.
// It stops at the first run that can't be made, and returns the earlier runs with
// the error.
func RunScenario(ctx context.Context, s Scenario, opener Opener) (result Result, err error) {
	defer func() { err = errors.Wrapf(err, "scenario %s", s.Name) }()
	if err := s.Validate(); err != nil {
		return Result{}, err
	}
	result.Scenario = s
	result.Floor, err = floor(s.Workload, s.Slots())
	if err != nil {
		return result, err
	}
	for _, policy := range s.Policies {
		run, err := runPolicy(ctx, s, policy, opener)
		if err != nil {
			return result, errors.Wrapf(err, "policy %s", policy)
		}
		result.Runs = append(result.Runs, run)
	}
	return result, nil
}

func runPolicy(ctx context.Context, s Scenario, policy profileparser.Policy, opener Opener) (run Run, err error) {
	system, err := opener.Open(ctx, s, policy)
	if err != nil {
		return Run{}, err
	}
	defer func() { err = errors.CombineErrors(err, system.Close()) }()
	if err := sleeper.Sleep(ctx, s.System.WarmUp); err != nil {
		return Run{}, err
	}
	recording := newRecordingSystem(system)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return injectFaults(groupCtx, recording, s.injections()) })
	run.Policy = policy
	if len(system.EntryVMs()) > 0 {
		run.Report, err = loader.Run(ctx, s.loadOptions(system))
	}
	err = errors.CombineErrors(err, group.Wait())
	run.Journal = recording.entries()
	run.Recovery = s.recovery(run.Report)
	run.MissedTargets = s.missedTargets(run)
	return run, err
}

func (s Scenario) loadOptions(system System) loader.Options {
	return loader.Options{
		Workload:      s.Workload,
		Slots:         s.Slots(),
		EntryVMs:      system.EntryVMs(),
		BackendAdmin:  system.BackendAdmin(),
		SharedProcess: system.SharedProcess(),
	}
}

// injectFaults injects each fault at its time, counted from system.start.
func injectFaults(ctx context.Context, system *recordingSystem, injections []injection) error {
	for _, injection := range injections {
		if err := sleeper.Sleep(ctx, injection.at-time.Since(system.start)); err != nil {
			return err
		}
		if err := system.Inject(ctx, injection.fault); err != nil {
			return err
		}
	}
	return nil
}
