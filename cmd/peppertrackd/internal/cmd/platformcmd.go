package cmd

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/platform"
)

func newPlatformCmd() *cobra.Command {
	var opts platform.Options
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the daemon of one entry VM on the users' platform",
		Long: `platform serves callers of the users' platform, in front of its backend servers.

The settings file is named by ` + platform.SettingsVariable + ` and has the platform's
format. SIGHUP reloads it. SIGTERM hands everything over and ends the daemon once
its jobs have ended.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return errors.Newf("%s is not set", platform.SettingsVariable)
			}
			return platform.Run(path, opts, cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&opts.ByReportsAlone, "by-reports-alone", false,
		"share scarce room by load reports alone: return no tasks to their homes, and start late ones in their usual place")
	cmd.Flags().BoolVar(&opts.KeepPairsApart, "keep-pairs-apart", false,
		"measure which routes' tasks slow each other down on one backend server, and prefer other servers for them")
	return cmd
}
