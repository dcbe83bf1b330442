package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
)

// progressInterval is how long one fetch waits for a running job to end.
const progressInterval = 200 * time.Millisecond

func newSubmitCmd() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job from a YAML or JSON file, or from - for the standard input",
		Long: `submit sends the job in FILE, whose keys are those of the callers' API:

  profile: orderDesk
  deadlineMillis: 2000
  tasks:
    - payload: {lot: A17}
      runTimeMillis: 100

A job without submissionId gets a fresh one, which is printed before the job is
sent. Repeat it in the file to ask for the same submission again.`,
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	o := addClientFlags(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for the job's ending and show its progress")
	cmd.RunE = func(cmd *cobra.Command, args []string) error { return runSubmit(cmd, o, args[0], wait) }
	return cmd
}

func runSubmit(cmd *cobra.Command, o *clientOptions, name string, wait bool) error {
	submission, err := readJob(cmd, name)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	s, err := newSubmitter(cmd, o)
	if err != nil {
		return err
	}
	defer s.Close()
	submission, err = s.Prepare(submission)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "submission %s\n", submission.ID)
	answer, err := s.Start(cmd.Context(), submission)
	if err != nil {
		return requestError(err)
	}
	if wait && answer.Ending == nil {
		answer, err = follow(cmd, s, answer, len(submission.Tasks))
		if err != nil {
			return requestError(err)
		}
	}
	return printAnswer(cmd, o, answer)
}

// follow shows a running job's progress until the job has ended, and returns the
// last answer with the attempts of the first.
func follow(
	cmd *cobra.Command, s *jobsubmitter.Submitter, answer jobsubmitter.Answer, tasks int,
) (last jobsubmitter.Answer, err error) {
	progress := newJobProgress(cmd.ErrOrStderr(), tasks)
	defer progress.finish()
	attempts := answer.Attempts
	for {
		answer, err = s.Fetch(cmd.Context(), answer.Submission, progressInterval)
		if err != nil {
			return answer, err
		}
		if answer.Ending != nil {
			answer.Attempts = attempts
			return answer, nil
		}
		progress.update(answer.Ended)
	}
}
