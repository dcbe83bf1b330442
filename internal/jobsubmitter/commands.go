package jobsubmitter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Prepare returns the submission with an id: its own, or a new one that begins
// with the failure domain of a ready entry VM if that is known.
func (s *Submitter) Prepare(submission Submission) (prepared Submission, err error) {
	if submission.ID != "" {
		return submission, nil
	}
	submission.ID, err = newSubmissionID(s.balancer.pick("").domain)
	return submission, err
}

// Start submits a job without waiting for its ending, and returns its status.
func (s *Submitter) Start(ctx context.Context, submission Submission) (answer Answer, err error) {
	return s.submit(ctx, submission, false)
}

// Submit submits a job, waits for its ending and returns it.
func (s *Submitter) Submit(ctx context.Context, submission Submission) (answer Answer, err error) {
	answer, err = s.submit(ctx, submission, true)
	if err != nil || answer.Ending != nil {
		return answer, err
	}
	return s.Await(ctx, answer.Submission)
}

func (s *Submitter) submit(ctx context.Context, submission Submission, wait bool) (answer Answer, err error) {
	submission, err = s.Prepare(submission)
	if err != nil {
		return Answer{}, err
	}
	request := newSubmitRequest(submission, wait)
	firstAttempt := max(submission.FirstAttempt, 1)
	return s.sendWithRetries(ctx, call{
		submission:   submission.ID,
		method:       http.MethodPost,
		path:         "/v1/jobs",
		firstAddress: submission.Address,
		body: func(attempt int) ([]byte, error) {
			request.Attempt = firstAttempt + identifier.Attempt(attempt) - 1
			body, err := json.Marshal(request)
			return body, errors.Wrap(err, "encoding the job")
		},
	})
}

// Cancel cancels a job. The answer holds the job's ending, or none while the
// job's tasks are still being stopped.
func (s *Submitter) Cancel(ctx context.Context, id identifier.SubmissionID) (answer Answer, err error) {
	return s.sendWithRetries(ctx, call{submission: id, method: http.MethodDelete, path: jobPath(id)})
}

func jobPath(id identifier.SubmissionID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }
