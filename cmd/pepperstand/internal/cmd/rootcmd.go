// Package cmd holds the commands of pepperstand, one per file.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(stderr, "pepperstand: %v\n", err)
		return 1
	}
	return 0
}

func newRootCmd() *cobra.Command {
	c := &cobra.Command{
		Use:           "pepperstand",
		Short:         "Stand-ins for the platform and its backend servers, and the load tool",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(
		newBackendCmd(),
		newCapacityCmd(),
		newExperimentCmd(),
		newLoadCmd(),
		newPlatformCmd(),
		newSpreadCmd(),
	)
	return c
}
