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
	cmd.Flags().StringVar(&page, "html", "", "file for the report as a page with plots, besides the output")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		report, err := o.operatorClient().Burn(cmd.Context())
		if err != nil {
			return operatorError(err)
		}
		if err := writePage(page, report); err != nil {
			return err
		}
		return o.print(cmd.OutOrStdout(), report, func(w io.Writer) error { return burnreporter.WriteText(w, report) })
	}
	return cmd
}

// writePage writes the report as a page, if a file is named.
func writePage(name string, report burnreporter.Report) (err error) {
	if name == "" {
		return nil
	}
	defer func() { err = errors.Wrap(err, "writing the page") }()
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = burnreporter.WriteHTML(f, report)
	return errors.CombineErrors(err, f.Close())
}
