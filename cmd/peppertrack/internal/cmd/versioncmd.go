package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), buildVersion())
			return err
		},
	}
}

// buildVersion returns the versions of the module and of Go and, if known, the
// revision.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "peppertrack (unknown version)"
	}
	version := "peppertrack " + info.Main.Version + " " + info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}
