package cmd

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/burnreporter"
)

func newReportCmd() *cobra.Command {
	var page string
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Show how fast the error budget of each profile and team is used up",
		Long: `report merges the figures of all entry VMs: the burn rate of each profile's
service-level objective over several windows, the budget left, and the response
time over the ideal. A burn rate of 1 uses up the budget exactly. An entry VM
whose figures are missing is named.`,
		Args: usageArgs(cobra.NoArgs),
	}
	o := addOperatorFlags(cmd)
	cmd.Flags().StringVar(&page, "html", "", "file to which the report is also written as an HTML page with plots")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		report, err := o.operatorClient().Burn(cmd.Context())
		if err != nil {
			return operatorError(err)
		}
		if err := writeHTML(page, report); err != nil {
			return err
		}
		return o.print(cmd.OutOrStdout(), report, func(w io.Writer) error { return burnreporter.WriteText(w, report) })
	}
	return cmd
}

// writeHTML writes the report as HTML into the named file, or nothing without a
// name.
func writeHTML(name string, report burnreporter.Report) (err error) {
	if name == "" {
		return nil
	}
	defer func() { err = errors.Wrap(err, "writing the HTML page") }()
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = burnreporter.WriteHTML(f, report)
	return errors.CombineErrors(err, f.Close())
}
