package cmd

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/spreadmeter"
)

func newSpreadCmd() *cobra.Command {
	var opts spreadmeter.Options
	c := &cobra.Command{
		Use:   "spread",
		Short: "Change a profile repeatedly, and measure when each change is in force on every VM",
		Long: `Change a profile repeatedly through the operators' API of each entry VM in turn,
and measure the time from sending a change until it is in force on the last VM.
The report is JSON. The exit code is 1 if a VM went back to an older version.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := spreadmeter.Run(c.Context(), opts)
			if err != nil {
				return err
			}
			data, err := json.MarshalIndent(report, "", "  ")
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), string(data))
			if report.VersionDecreases > 0 {
				return errPromiseBroken
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringSliceVar(&opts.Servers, "operators", nil, "URLs of the operators' API of every entry VM (required)")
	f.StringVar(&opts.Token, "token", "", "bearer token of an operator")
	f.IntVar(&opts.Changes, "changes", 100, "number of accepted changes after which the run ends")
	f.DurationVar(&opts.Interval, "interval", 100*time.Millisecond, "time between two changes")
	f.DurationVar(&opts.LateAfter, "limit", 30*time.Second, "time after which a change counts as late on a VM that does not have it in force")
	_ = c.MarkFlagRequired("operators") // the flag exists
	return c
}
