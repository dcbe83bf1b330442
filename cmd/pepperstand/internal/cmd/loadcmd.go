package cmd

import (
	"encoding/json"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/loader"
)

// errPromiseBroken makes load, experiment and spread exit with 1 after the report.
var errPromiseBroken = errors.New("the run broke a promise; see the report")

type loadFlags struct {
	entryVMs       []string
	backends       string
	workload       string
	slots          int
	seed           uint64
	duration       time.Duration
	load           float64
	profile        string
	requestTimeout time.Duration
	attempts       int
	drain          time.Duration
	output         string
	reportFile     string
}

func newLoadCmd() *cobra.Command {
	var flags loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Offer a seeded workload to entry VMs, check every answer and measure",
		Long: `Offer a seeded workload of jobs to the entry VMs, open loop: jobs are sent at
their planned times, however late the answers are. Every output is checked, and
with --backends the starts that the backend servers saw are matched with the
answers.

The exit code is 1 if a promise was broken: a task started twice, an answer that
is partial, wrong or false, or a request without an answer.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c, flags) },
	}
	f := c.Flags()
	f.StringSliceVar(&flags.entryVMs, "entry-vms", nil, "callers' addresses of the entry VMs, each an IP number and port")
	f.StringVar(&flags.backends, "backends", "", "address of the backend servers' administration; empty skips the audit")
	f.StringVar(&flags.workload, "workload", "", "YAML file of the workload, or - for the standard input; the other flags override it")
	f.IntVar(&flags.slots, "slots", 0, "slots of all backend servers; 0 asks the administration")
	f.Uint64Var(&flags.seed, "seed", 1, "seed of the workload")
	f.DurationVar(&flags.duration, "duration", 30*time.Second, "time over which jobs arrive")
	f.Float64Var(&flags.load, "load", 0.7, "offered work as a share of the slots")
	f.StringVar(&flags.profile, "profile", "orderDesk", "profile of the jobs")
	f.DurationVar(&flags.requestTimeout, "request-timeout", 30*time.Second, "longest wait of one attempt")
	f.IntVar(&flags.attempts, "attempts", 6, "attempts of one request")
	f.DurationVar(&flags.drain, "drain", 2*time.Minute, "longest wait for answers after the last arrival")
	f.StringVar(&flags.output, "output", "text", "text or json")
	f.StringVar(&flags.reportFile, "report", "", "file to which the report is also written as JSON")
	return c
}

func runLoad(c *cobra.Command, flags loadFlags) error {
	if flags.output != "text" && flags.output != "json" {
		return errors.Newf("--output: %q is neither text nor json", flags.output)
	}
	opts, err := flags.options(c)
	if err != nil {
		return err
	}
	report, err := loader.Run(c.Context(), opts)
	if err != nil {
		return err
	}
	if err := flags.writeReport(c.OutOrStdout(), report); err != nil {
		return err
	}
	if report.Failed() {
		return errPromiseBroken
	}
	return nil
}

func (f loadFlags) options(c *cobra.Command) (opts loader.Options, err error) {
	if len(f.entryVMs) == 0 {
		return opts, errors.New("--entry-vms: at least one address is needed")
	}
	workload, err := f.readWorkload(c)
	if err != nil {
		return opts, err
	}
	backends, err := hostPort(f.backends)
	if err != nil {
		return opts, errors.Wrap(err, "--backends")
	}
	opts = loader.Options{
		Workload:       workload,
		Slots:          identifier.Slots(f.slots),
		EntryVMs:       f.entryVMs,
		BackendAdmin:   backends,
		RequestTimeout: f.requestTimeout,
		Attempts:       f.attempts,
		Drain:          f.drain,
	}
	if f.slots == 0 {
		if backends == "" {
			return opts, errors.New("--slots: is needed without --backends")
		}
		opts.Slots, err = loader.CountSlots(c.Context(), backends)
	}
	return opts, err
}

// readWorkload returns the file's workload, overridden by the flags that were given.
func (f loadFlags) readWorkload(c *cobra.Command) (w loader.Workload, err error) {
	w, err = f.readFile(c)
	if err != nil {
		return w, errors.Wrap(err, "--workload")
	}
	given := c.Flags().Changed
	if given("seed") {
		w.Seed = f.seed
	}
	if given("duration") {
		w.Duration = f.duration
	}
	if given("load") {
		w.Load = f.load
	}
	if given("profile") {
		w.Profile = identifier.ProfileName(f.profile)
	}
	return w, w.Validate()
}

func (f loadFlags) readFile(c *cobra.Command) (w loader.Workload, err error) {
	switch f.workload {
	case "":
		return loader.DefaultWorkload(), nil
	case "-":
		return loader.ParseWorkload(c.InOrStdin())
	}
	file, err := os.Open(f.workload)
	if err != nil {
		return w, err
	}
	defer file.Close()
	return loader.ParseWorkload(file)
}

// hostPort returns the host and port of an address, which may be an http URL. An
// empty address stays empty.
func hostPort(address string) (host string, err error) {
	u, err := url.Parse(address)
	if err == nil && u.Scheme == "http" && u.Host != "" {
		return u.Host, nil
	}
	if address == "" {
		return "", nil
	}
	return address, checkAddress(address)
}

func (f loadFlags) writeReport(w io.Writer, report loader.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "writing the report")
	}
	data = append(data, '\n')
	if f.reportFile != "" {
		if err := os.WriteFile(f.reportFile, data, 0o644); err != nil {
			return errors.Wrap(err, "--report")
		}
	}
	if f.output == "json" {
		_, err := w.Write(data)
		return err
	}
	return report.WriteText(w)
}
