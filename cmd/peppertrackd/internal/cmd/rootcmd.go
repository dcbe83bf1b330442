// Package cmd holds the commands of peppertrackd, one a file.
package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(stderr, "peppertrackd: %v\n", err)
		return 1
	}
	return 0
}

func newRootCmd() *cobra.Command {
	return &cobra.Command{
		Use:           "peppertrackd",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
}
