package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
)

// jobView is an answer as the job commands print it.
type jobView struct {
	SubmissionID     identifier.SubmissionID  `json:"submissionId"`
	Ending           string                   `json:"ending"`
	Cause            string                   `json:"cause,omitempty"`
	Detail           string                   `json:"detail,omitempty"`
	RetryAfterMillis int64                    `json:"retryAfterMillis,omitempty"`
	Ended            int                      `json:"ended,omitempty"`
	Tasks            int                      `json:"tasks,omitempty"`
	Outputs          []json.RawMessage        `json:"outputs,omitempty"`
	Outcomes         []declarer.TaskOutcome   `json:"outcomes,omitempty"`
	FailureDomain    identifier.FailureDomain `json:"failureDomain,omitempty"`
	Attempts         int                      `json:"attempts"`
}

func newJobView(a jobsubmitter.Answer) jobView {
	v := jobView{
		SubmissionID:  a.Submission,
		Ended:         a.Ended,
		Tasks:         a.Tasks,
		FailureDomain: a.Domain,
		Attempts:      a.Attempts,
	}
	switch e := a.Ending.(type) {
	case declarer.Complete:
		v.Ending = "complete"
		for _, output := range e.Outputs {
			v.Outputs = append(v.Outputs, output)
		}
	case declarer.Failed:
		v.Ending, v.Cause, v.Detail, v.Outcomes = "failed", string(e.Cause), e.Detail, e.Outcomes
	case declarer.Refused:
		v.Ending, v.Cause, v.Detail = "refused", string(e.Cause), e.Detail
		v.RetryAfterMillis = e.RetryAfter.Milliseconds()
	case declarer.Unverifiable:
		v.Ending, v.Cause, v.Detail = "unverifiable", string(e.Cause), e.Detail
		v.RetryAfterMillis = e.RetryAfter.Milliseconds()
	default:
		v.Ending = "running"
	}
	return v
}

// endingTexts are the lines that the text output has for the endings.
var endingTexts = map[string]string{
	"complete":     "complete: every task ended with a result",
	"running":      "running",
	"failed":       "failed: it was started and did not complete",
	"refused":      "refused: nothing of this submission ever started",
	"unverifiable": "unverifiable: this attempt started nothing, an earlier one may have",
}

func (v jobView) writeText(w io.Writer) error {
	fmt.Fprintf(w, "submission %s\n", v.SubmissionID)
	fmt.Fprintln(w, endingTexts[v.Ending])
	if v.Ending == "running" {
		fmt.Fprintf(w, "ended %d of %d tasks\n", v.Ended, v.Tasks)
	}
	if v.Cause != "" {
		fmt.Fprintf(w, "cause %s\n", v.Cause)
	}
	if v.Detail != "" {
		fmt.Fprintf(w, "detail %s\n", v.Detail)
	}
	if v.RetryAfterMillis > 0 {
		fmt.Fprintf(w, "come back after %v\n", time.Duration(v.RetryAfterMillis)*time.Millisecond)
	}
	for i, outcome := range v.Outcomes {
		fmt.Fprintf(w, "task %d %s\n", i, outcome)
	}
	for i, output := range v.Outputs {
		fmt.Fprintf(w, "task %d %s\n", i, output)
	}
	return nil
}

// printAnswer prints an answer. Unless the job runs or is complete, it returns an
// error with the exit code of the ending.
func printAnswer(cmd *cobra.Command, o *clientOptions, a jobsubmitter.Answer) error {
	v := newJobView(a)
	if err := o.print(cmd.OutOrStdout(), v, v.writeText); err != nil {
		return err
	}
	switch a.Ending.(type) {
	case declarer.Failed:
		return errors.Newf("submission %s failed: %s", v.SubmissionID, v.Cause)
	case declarer.Refused:
		return withExitCode(exitRefused, errors.Newf("submission %s was refused: %s", v.SubmissionID, v.Cause))
	case declarer.Unverifiable:
		return withExitCode(exitUnverifiable, errors.Newf("submission %s can't be verified: %s", v.SubmissionID, v.Cause))
	default:
		return nil
	}
}

// requestError returns the error of a request with its exit code.
func requestError(err error) error {
	var unanswered *jobsubmitter.UnansweredError
	var unknown *jobsubmitter.UnknownSubmissionError
	switch {
	case errors.As(err, &unanswered) && unanswered.NeverSent:
		return withExitCode(exitRefused, err)
	case errors.As(err, &unanswered):
		return withExitCode(exitUnverifiable, err)
	case errors.As(err, &unknown):
		return withExitCode(exitRefused, err)
	default:
		return err
	}
}

// newSubmitter returns a client of the callers' API of the server in the options.
func newSubmitter(cmd *cobra.Command, o *clientOptions) (s *jobsubmitter.Submitter, err error) {
	u, err := url.Parse(o.Server)
	if err != nil {
		return nil, withExitCode(exitUsage, err)
	}
	return jobsubmitter.New(cmd.Context(), jobsubmitter.Options{
		Addresses: []string{u.Host},
		Scheme:    u.Scheme,
		Token:     o.Token,
		Seed:      uint64(time.Now().UnixNano()),
	})
}
