package loader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/auditor"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// sendJob starts the requests of one job: the first one, and copies with the same
// ID to random entry VMs.
func (r *run) sendJob(ctx context.Context, job PlannedJob, rng *rand.Rand) {
	submitter := r.submitters[job.TeamIndex]
	submission, err := newSubmission(r.opts.Workload, job)
	if err == nil {
		submission, err = submitter.Prepare(submission)
	}
	if err != nil {
		r.notSent++
		return
	}
	r.spawn(func() { r.sendFirst(ctx, submitter, submission, job) })
	for i, delay := range job.CopyDelays {
		duplicate := submission
		duplicate.FirstAttempt = identifier.Attempt(i + 2)
		duplicate.Address = r.opts.EntryVMs[rng.IntN(len(r.opts.EntryVMs))]
		r.spawn(func() { r.sendCopy(ctx, submitter, duplicate, delay) })
	}
}

func (r *run) spawn(request func()) {
	r.inFlight <- struct{}{}
	r.waiting.Add(1)
	r.wg.Go(func() {
		defer func() { <-r.inFlight }()
		defer r.waiting.Add(-1)
		request()
	})
}

// sendFirst sends a job's first request and records how the job ended.
func (r *run) sendFirst(ctx context.Context, s *jobsubmitter.Submitter, submission jobsubmitter.Submission, job PlannedJob) {
	done := make(chan struct{})
	cancelled := make(chan bool, 1)
	r.wg.Go(func() { cancelled <- r.cancelInWave(ctx, s, submission.ID, job, done) })
	observation := r.submit(ctx, s, submission)
	close(done)
	o := outcome{
		job:      job,
		ending:   observation.Ending,
		response: observation.Received.Sub(r.start) - job.At,
		ideal:    job.Longest() + r.roundTrip,
	}
	answer, isComplete := observation.Ending.(declarer.Complete)
	o.verified = isComplete && len(answer.Outputs) == len(submission.Tasks) && len(observation.WrongOutputs) == 0
	o.inTime = submission.Deadline == 0 || o.response <= submission.Deadline
	failed, isFailed := observation.Ending.(declarer.Failed)
	o.cancelConfirmed = <-cancelled && isFailed && failed.Cause == declarer.Cancelled
	r.recorder.record(o)
}

// sendCopy sends a further request with the ID of a job after a delay.
func (r *run) sendCopy(ctx context.Context, s *jobsubmitter.Submitter, submission jobsubmitter.Submission, delay time.Duration) {
	if sleeper.Sleep(ctx, delay) != nil {
		return
	}
	r.submit(ctx, s, submission)
}

// submit sends one request, records its observation and returns it.
func (r *run) submit(ctx context.Context, s *jobsubmitter.Submitter, submission jobsubmitter.Submission) auditor.Observation {
	sent := time.Now()
	answer, err := s.Submit(ctx, submission)
	o := auditor.Observation{
		Submission:   submission.ID,
		Tasks:        len(submission.Tasks),
		Unrepeatable: submission.Unrepeatable,
		Sent:         sent,
		Received:     time.Now(),
		Ending:       answer.Ending,
	}
	o.WrongCaller, o.Malformed = answerDefect(err)
	if ending, ok := answer.Ending.(declarer.Complete); ok {
		o.WrongOutputs = wrongOutputs(submission, ending.Outputs)
		o.Ending = declarer.Complete{Outputs: make([][]byte, len(ending.Outputs))}
	}
	r.recorder.addObservation(o)
	return o
}

// answerDefect returns how an answer breaks the callers' API. An error that
// leaves the request without an answer is no defect.
func answerDefect(err error) (wrongCaller bool, malformed string) {
	var wrong *jobsubmitter.WrongSubmissionError
	if errors.As(err, &wrong) {
		return true, ""
	}
	var broken *jobsubmitter.MalformedAnswerError
	if errors.As(err, &broken) {
		return false, broken.Error()
	}
	return false, ""
}

// cancelInWave cancels the job if it is still in flight at the time of the first
// cancel wave after its arrival that selects it, and reports whether it did.
func (r *run) cancelInWave(
	ctx context.Context, s *jobsubmitter.Submitter, id identifier.SubmissionID, job PlannedJob, done <-chan struct{},
) (cancelled bool) {
	for i, wave := range r.opts.Workload.CancelWaves {
		if !job.Cancels[i] || wave.At < job.At {
			continue
		}
		timer := time.NewTimer(time.Until(r.start.Add(wave.At)))
		select {
		case <-done:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
			_, _ = s.Cancel(ctx, id) // the job's own answer says how it ended
			cancelled = true
		}
		return cancelled
	}
	return false
}
