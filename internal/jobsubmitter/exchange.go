package jobsubmitter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// call is one request of a caller, which may need several attempts.
type call struct {
	submission   identifier.SubmissionID
	method       string
	path         string
	body         func(attempt int) ([]byte, error) // nil: no body
	firstAddress string                            // the entry VM to ask first; "": any
}

// sendWithRetries sends the call until an answer is final, the attempts or the
// retry budget are used up, or ctx ends.
func (s *Submitter) sendWithRetries(ctx context.Context, c call) (answer Answer, err error) {
	s.budget.earn()
	avoid := ""
	neverSent := true
	for attempt := 1; ; attempt++ {
		address := s.targetAddress(c, attempt, avoid)
		answer, err = s.sendOnce(ctx, c, address, attempt)
		answer.Attempts = attempt
		neverSent = neverSent && isDialError(err)
		pause, again := s.retryDelay(answer, err, attempt)
		if !again || ctx.Err() != nil || attempt >= s.opts.Attempts || !s.budget.spend() {
			return answer, finalError(c, err, attempt, neverSent)
		}
		if err != nil {
			avoid = address
		}
		if sleepErr := sleeper.Sleep(ctx, pause); sleepErr != nil {
			if err == nil {
				return answer, nil
			}
			return answer, finalError(c, err, attempt, neverSent)
		}
	}
}

func (s *Submitter) targetAddress(c call, attempt int, avoid string) string {
	if attempt == 1 && c.firstAddress != "" {
		return c.firstAddress
	}
	return s.balancer.pick(avoid).address
}

// retryDelay returns whether to attempt again, and the pause before that.
func (s *Submitter) retryDelay(answer Answer, err error, attempt int) (pause time.Duration, again bool) {
	if err != nil {
		return s.backoff(attempt), isLost(err)
	}
	if s.opts.ReturnRefusals {
		return 0, false
	}
	retryAfter := retryAfterOf(answer.Ending)
	if retryAfter <= 0 || retryAfter > maxRetryAfter {
		return 0, false
	}
	return s.addJitter(retryAfter), true
}

func retryAfterOf(ending declarer.Ending) time.Duration {
	switch e := ending.(type) {
	case declarer.Refused:
		return e.RetryAfter
	case declarer.Unverifiable:
		return e.RetryAfter
	default:
		return 0
	}
}

// lostError marks an attempt whose connection or answer was lost.
type lostError struct{ cause error }

func (e *lostError) Error() string { return e.cause.Error() }
func (e *lostError) Unwrap() error { return e.cause }

func isLost(err error) bool {
	var lost *lostError
	return errors.As(err, &lost)
}

// isDialError reports whether an attempt failed to connect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func finalError(c call, err error, attempts int, neverSent bool) error {
	if err == nil || !isLost(err) {
		return err
	}
	return &UnansweredError{Submission: c.submission, Attempts: attempts, NeverSent: neverSent, Last: err}
}

// sendOnce makes one attempt at the call, within RequestTimeout.
func (s *Submitter) sendOnce(ctx context.Context, c call, address string, attempt int) (answer Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	r, err := s.newRequest(ctx, c, address, attempt)
	if err != nil {
		return Answer{}, err
	}
	response, err := s.client.Do(r)
	if err != nil {
		s.markLost(ctx, address)
		return Answer{}, &lostError{cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := s.readBody(response, address)
	if err != nil {
		return Answer{}, err
	}
	domain := identifier.FailureDomain(response.Header.Get(failureDomainHeader))
	s.balancer.setDomain(address, domain)
	answer, err = parseAnswer(c.submission, address, response, body)
	answer.Domain = domain
	return answer, err
}

// markLost marks an entry VM whose connection failed as not ready, but not one
// whose answer only took longer than the caller waited.
func (s *Submitter) markLost(ctx context.Context, address string) {
	if ctx.Err() == nil {
		s.balancer.markUnready(address)
	}
}

func (s *Submitter) newRequest(ctx context.Context, c call, address string, attempt int) (r *http.Request, err error) {
	defer func() { err = errors.Wrap(err, "building the request") }()
	var body io.Reader
	if c.body != nil {
		encoded, err := c.body(attempt)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	r, err = http.NewRequestWithContext(ctx, c.method, s.opts.Scheme+"://"+address+c.path, body)
	if err != nil {
		return nil, err
	}
	if c.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if s.opts.Token != "" {
		r.Header.Set("Authorization", "Bearer "+s.opts.Token)
	}
	return r, nil
}

func (s *Submitter) readBody(response *http.Response, address string) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(response.Body, s.opts.AnswerLimit+1))
	if err != nil {
		return nil, &lostError{cause: errors.Wrap(err, "reading the answer")}
	}
	if int64(len(body)) > s.opts.AnswerLimit {
		return nil, &MalformedAnswerError{Address: address, Status: response.StatusCode, Reason: "the body is over the limit"}
	}
	return body, nil
}

// parseAnswer decodes one answer. It fails for an answer that violates the
// callers' API or belongs to another submission. A gateway's own answer counts as
// a lost one.
func parseAnswer(
	submission identifier.SubmissionID, address string, response *http.Response, body []byte,
) (answer Answer, err error) {
	var decoded answerBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		malformed := &MalformedAnswerError{Address: address, Status: response.StatusCode, Reason: err.Error()}
		if isGatewayStatus(response.StatusCode) {
			return Answer{}, &lostError{cause: malformed}
		}
		return Answer{}, malformed
	}
	if decoded.SubmissionID != "" && decoded.SubmissionID != submission {
		return Answer{}, &WrongSubmissionError{Want: submission, Got: decoded.SubmissionID}
	}
	if decoded.Ending == endingUnknown && response.StatusCode == http.StatusNotFound {
		return Answer{}, &UnknownSubmissionError{Submission: submission, Detail: decoded.Detail}
	}
	decoded.applyRetryAfterHeader(response.Header)
	ending, ok := decoded.ending(response.StatusCode)
	if !ok {
		reason := "the ending is " + decoded.Ending
		return Answer{}, &MalformedAnswerError{Address: address, Status: response.StatusCode, Reason: reason}
	}
	return Answer{
		Submission: submission,
		Ending:     ending,
		Ended:      decoded.Ended,
		Tasks:      decoded.Tasks,
		Address:    address,
	}, nil
}

func isGatewayStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
