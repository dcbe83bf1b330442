package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/experimenter"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

type experimentFlags struct {
	attach   []string
	backends string
	policies []string
	out      string
	dryRun   bool
}

func newExperimentCmd() *cobra.Command {
	var flags experimentFlags
	c := &cobra.Command{
		Use:   "experiment SCENARIO.yaml...",
		Short: "Run scenarios under each of their placement policies and compare",
		Long: `Run each scenario under each of its policies, one after the other on the same
seeded workload: the platform, the backend servers and the entry VMs run in this
process, over loopback sockets. The table goes to the output; with --out, the
table, the results as JSON and an SVG plot per scenario are written to a
directory.

With --attach, the workload goes to entry VMs that run already. The policy is
then the one that their profile names, and faults can be set only on backend
servers.

The exit code is 1 if a promise was broken. A missed target is listed in the
table and does not change the exit code.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return runExperiment(c, flags, args) },
	}
	f := c.Flags()
	f.StringSliceVar(&flags.attach, "attach", nil, "callers' addresses of entry VMs that run already")
	f.StringVar(&flags.backends, "backends", "", "with --attach: address of the backend servers' administration")
	f.StringSliceVar(&flags.policies, "policies", nil, "policies to compare instead of the scenarios' own")
	f.StringVar(&flags.out, "out", "", "directory for table.md, results.json and the plots")
	f.BoolVar(&flags.dryRun, "dry-run", false, "read the scenarios and step through their faults without running a system")
	return c
}

func runExperiment(c *cobra.Command, flags experimentFlags, names []string) error {
	opener, err := flags.opener(c)
	if err != nil {
		return err
	}
	scenarios, err := flags.readAll(names)
	if err != nil {
		return err
	}
	var results []experimenter.Result
	for _, scenario := range scenarios {
		fmt.Fprintf(c.ErrOrStderr(), "scenario %s\n", scenario.Name)
		result, err := experimenter.RunScenario(c.Context(), scenario, opener)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if err := experimenter.WriteTable(c.OutOrStdout(), results); err != nil {
		return err
	}
	if err := flags.writeResults(results); err != nil {
		return errors.Wrap(err, "--out")
	}
	return firstFailure(results)
}

func firstFailure(results []experimenter.Result) error {
	for _, result := range results {
		if result.Failed() {
			return errors.Wrapf(errPromiseBroken, "scenario %s", result.Scenario.Name)
		}
	}
	return nil
}

func (f experimentFlags) opener(c *cobra.Command) (experimenter.Opener, error) {
	switch {
	case f.dryRun:
		return experimenter.DryRun{}, nil
	case len(f.attach) == 0:
		logger := log.NewJSONLogger(log.NewSyncWriter(c.ErrOrStderr()))
		return experimenter.Local{Logger: level.NewFilter(logger, level.AllowWarn())}, nil
	}
	admin, err := hostPort(f.backends)
	if err != nil || admin == "" {
		return nil, errors.New("--backends: an address is needed with --attach")
	}
	return experimenter.Attached{Addresses: f.attach, AdminAddress: admin}, nil
}

func (f experimentFlags) readAll(names []string) (scenarios []experimenter.Scenario, err error) {
	for _, name := range names {
		scenario, err := f.read(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

func (f experimentFlags) read(name string) (s experimenter.Scenario, err error) {
	file, err := os.Open(name)
	if err != nil {
		return s, err
	}
	defer file.Close()
	s, err = experimenter.Parse(file)
	if err != nil {
		return s, err
	}
	if len(f.policies) > 0 {
		s.Policies = nil
		for _, policy := range f.policies {
			s.Policies = append(s.Policies, profileparser.Policy(policy))
		}
	}
	return s, s.Validate()
}

// writeResults writes the table, the results and a plot of each scenario to the
// directory of --out, or nothing without one.
func (f experimentFlags) writeResults(results []experimenter.Result) error {
	if f.out == "" {
		return nil
	}
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.out, "results.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	table := func(w io.Writer) error { return experimenter.WriteTable(w, results) }
	if err := f.writeFile("table.md", table); err != nil {
		return err
	}
	for _, result := range results {
		plot := func(w io.Writer) error { return experimenter.WritePlot(w, result) }
		if err := f.writeFile(result.Scenario.Name+".svg", plot); err != nil {
			return err
		}
	}
	return nil
}

func (f experimentFlags) writeFile(name string, write func(io.Writer) error) error {
	var buffer bytes.Buffer
	if err := write(&buffer); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.out, name), buffer.Bytes(), 0o644)
}
