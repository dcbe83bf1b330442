package cmd

import (
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func newCancelCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "cancel SUBMISSION",
		Short: "Cancel a job: remove its queued tasks and stop its running ones",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	o := addClientFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		s, err := newSubmitter(cmd, o)
		if err != nil {
			return err
		}
		defer s.Close()
		answer, err := s.Cancel(cmd.Context(), identifier.SubmissionID(args[0]))
		if err != nil {
			return requestError(err)
		}
		v := newJobView(answer)
		return o.print(cmd.OutOrStdout(), v, v.writeText)
	}
	return cmd
}
