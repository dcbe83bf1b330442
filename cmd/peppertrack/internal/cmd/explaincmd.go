package cmd

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/logexplainer"
)

func newExplainCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "explain JOB LOG...",
		Short: "Show the course of one job from the logs of VMs",
		Long: `explain merges the lines about one job from the logs of several VMs, ordered by
time, and names what is missing. A LOG of - is the standard input.`,
		Args: usageArgs(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var timeline logexplainer.Timeline
			for _, path := range args[1:] {
				if err := readLog(cmd, &timeline, path, args[0]); err != nil {
					return err
				}
			}
			return timeline.Write(cmd.OutOrStdout())
		},
	}
}

func readLog(cmd *cobra.Command, timeline *logexplainer.Timeline, path, job string) (err error) {
	if path == "-" {
		return timeline.Read(cmd.InOrStdin(), job)
	}
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "opening the log")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return timeline.Read(f, job)
}
