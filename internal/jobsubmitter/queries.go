package jobsubmitter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// Fetch returns the status of a job. It waits for the job's ending, at most for
// wait.
func (s *Submitter) Fetch(
	ctx context.Context, id identifier.SubmissionID, wait time.Duration,
) (answer Answer, err error) {
	path := fmt.Sprintf("%s?waitMillis=%d", jobPath(id), wait.Milliseconds())
	return s.sendWithRetries(ctx, call{submission: id, method: http.MethodGet, path: path})
}

// Await fetches the status of a job until it has ended.
func (s *Submitter) Await(ctx context.Context, id identifier.SubmissionID) (answer Answer, err error) {
	wait := min(fetchWait, s.opts.RequestTimeout/2)
	for {
		answer, err = s.Fetch(ctx, id, wait)
		if err != nil || answer.Ending != nil {
			return answer, err
		}
		if err := sleeper.Sleep(ctx, s.backoff(1)); err != nil {
			return answer, &UnansweredError{Submission: id, Attempts: answer.Attempts, Last: err}
		}
	}
}
