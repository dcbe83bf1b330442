// Package cmd holds the command of peppertrackd.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/runner"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

// Main runs the command line and returns the exit code.
func Main(args []string, _ io.Reader, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(stderr, "peppertrackd: %v\n", err)
		return 1
	}
	return 0
}

type rootFlags struct {
	config string
	set    []string
}

func newRootCmd() *cobra.Command {
	var f rootFlags
	cmd := &cobra.Command{
		Use:   "peppertrackd",
		Short: "Run the daemon of one entry VM",
		Long: `peppertrackd serves callers, operators and its peers on one entry VM.

--set overrides the environment (PEPPERTRACK_SET_listen__callers sets
listen.callers), which overrides the file, which overrides the defaults that
'peppertrack config show' prints. SIGTERM or SIGINT ends the daemon once its jobs
have ended and its records are on peers; a second signal, or the shutdown
timeout, ends it at once.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(f, cmd.OutOrStdout())
		},
	}
	cmd.AddCommand(newPlatformCmd())
	cmd.Flags().StringVar(&f.config, "config", "", "settings file in YAML")
	cmd.Flags().StringArrayVar(&f.set, "set", nil, "one setting, as path.to.key=value; may be repeated")
	return cmd
}

func run(f rootFlags, w io.Writer) (err error) {
	settings, err := loadSettings(f)
	if err != nil {
		return err
	}
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "vm", settings.VM, "failureDomain", settings.FailureDomain)
	r, err := runner.Start(runner.Options{Settings: settings, Logger: logger})
	if err != nil {
		return err
	}
	callers, operators, peers := r.Addresses()
	_ = logger.Log("level", "info", "msg", "started", "member", r.Self(), "callers", callers, "operators", operators, "peers", peers)
	return shutDownOnSignal(r, settings, logger)
}

func loadSettings(f rootFlags) (settings settingsloader.Settings, err error) {
	var file []byte
	if f.config != "" {
		if file, err = os.ReadFile(f.config); err != nil {
			return settings, errors.Wrap(err, "reading settings")
		}
	}
	return settingsloader.Load(settingsloader.Sources{
		FileName: f.config,
		File:     file,
		Environ:  os.Environ(),
		Flags:    f.set,
	})
}

// shutDownOnSignal waits for SIGTERM or SIGINT and shuts the daemon down. A second
// signal ends the shutdown at once. If the runner fails first, it is closed.
func shutDownOnSignal(r *runner.Runner, settings settingsloader.Settings, logger log.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case s := <-signals:
		_ = logger.Log("level", "info", "msg", "shutting down", "signal", s, "timeout", settings.Shutdown.Timeout)
	case <-r.Failed():
		return r.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Shutdown.Timeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	err := r.Shutdown(ctx)
	_ = logger.Log("level", "info", "msg", "ended", "err", err)
	return err
}
