package cmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func newJobCmd() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "job SUBMISSION",
		Short: "Fetch the state or the ending of a submission",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	o := addClientFlags(cmd)
	cmd.Flags().DurationVar(&wait, "wait", 0, "longest wait for the job's ending")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if wait < 0 {
			return usageErrorf("wait: %v is below 0", wait)
		}
		s, err := newSubmitter(cmd, o)
		if err != nil {
			return err
		}
		defer s.Close()
		answer, err := s.Fetch(cmd.Context(), identifier.SubmissionID(args[0]), wait)
		if err != nil {
			return requestError(err)
		}
		return printAnswer(cmd, o, answer)
	}
	return cmd
}
