// Package cmd holds the commands of peppertrack, one per file.
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
	err := root.Execute()
	if err != nil {
		fmt.Fprintf(stderr, "peppertrack: %v\n", err)
	}
	return int(exitCodeOf(err))
}

func newRootCmd() *cobra.Command {
	root := newGroupCmd("peppertrack", "Submit jobs and manage the dispatcher's profiles",
		newSubmitCmd(),
		newJobCmd(),
		newCancelCmd(),
		newProfileCmd(),
		newApplyCmd(),
		newEvacuateCmd(),
		newStatusCmd(),
		newTokenCmd(),
		newHandoverCmd(),
		newConfigCmd(),
		newTryCmd(),
		newReportCmd(),
		newExplainCmd(),
		newVersionCmd(),
	)
	root.Long = `peppertrack submits jobs to entry VMs and manages their profiles.

Commands that call a server take --server, --token and --output from flags, else
from the environment, else from the file that ` + envConfig + ` names,
else from peppertrack/client.yaml in the user's configuration directory.
Operators' commands have variables of their own, ` + envOperatorsServer + `
and ` + envOperatorsToken + `, since their API has an address of its own.

Exit codes: 0 done, 1 failed, 2 wrong flags or arguments, 3 conflict with another
change, 4 refused, or the server is unreachable, 5 not known whether the job ran.`
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageErrorf("%w; see %s --help", err, cmd.CommandPath())
	})
	return root
}
