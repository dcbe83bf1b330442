package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/operatorserver"
)

const handoverMode = 0o600 // the package holds hashes of tokens

func newHandoverCmd() *cobra.Command {
	cmd := newGroupCmd("handover", "Export and verify what a new operator takes over")
	o := addOperatorFlags(cmd)
	cmd.AddCommand(newHandoverExportCmd(o), newHandoverVerifyCmd(o))
	return cmd
}

func newHandoverExportCmd(o *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "export FILE",
		Short: "Write profiles, history and what is in force on each VM to a file",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			h, err := o.operatorClient().Handover(cmd.Context())
			if err != nil {
				return operatorError(err)
			}
			data, err := json.MarshalIndent(h, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(args[0], append(data, '\n'), handoverMode); err != nil {
				return err
			}
			return reportHandover(cmd, o, h)
		},
	}
}

func newHandoverVerifyCmd(o *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "verify FILE",
		Short: "Check that a package is whole and was in force on every VM",
		Long: `Check that a package is whole and that its book of profiles was in force on
every VM when it was exported. No server is called. The command fails if it finds
a problem.`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var h operatorserver.Handover
			if err := json.Unmarshal(data, &h); err != nil {
				return errors.Wrapf(err, "reading %s", args[0])
			}
			return reportHandover(cmd, o, h)
		},
	}
}

// handoverReport is the summary of a package that the commands print.
type handoverReport struct {
	Version  uint64   `json:"version"`
	Profiles int      `json:"profiles"`
	Changes  int      `json:"changes"`
	VMs      int      `json:"vms"`
	Problems []string `json:"faults"`
}

// reportHandover prints the summary of a package and returns an error if the
// package has problems.
func reportHandover(cmd *cobra.Command, o *clientOptions, h operatorserver.Handover) error {
	report := handoverReport{
		Version: uint64(h.Book.Version), Profiles: len(h.Book.Profiles), Changes: len(h.Book.Changes),
		VMs: len(h.Statuses), Problems: append([]string{}, h.Verify()...),
	}
	err := o.print(cmd.OutOrStdout(), report, func(w io.Writer) error {
		fmt.Fprintf(w, "version %d: %d profiles, %d changes, %d VMs\n", report.Version, report.Profiles, report.Changes, report.VMs)
		for _, problem := range report.Problems {
			fmt.Fprintln(w, "amiss:", problem)
		}
		return nil
	})
	if err != nil || len(report.Problems) == 0 {
		return err
	}
	return errors.Newf("the handover package has %d problems", len(report.Problems))
}
