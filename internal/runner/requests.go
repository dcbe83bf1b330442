package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peppertrack/peppertrack/internal/callerserver"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// requests passes the requests of the callers' server to the dispatcher's machine
// and returns its replies. It implements callerserver.Dispatcher.
type requests struct {
	queue eventQueue[dispatcher.Event]
	last  atomic.Uint64

	mu   sync.Mutex
	open map[dispatcher.RequestID]chan declarer.Status
}

var _ callerserver.Dispatcher = (*requests)(nil)

func newRequests(queue eventQueue[dispatcher.Event]) *requests {
	return &requests{queue: queue, open: make(map[dispatcher.RequestID]chan declarer.Status)}
}

// Submit implements callerserver.Dispatcher.
func (q *requests) Submit(ctx context.Context, job declarer.Job, wait bool) (declarer.Status, error) {
	return q.ask(ctx, job.Submission, func(id dispatcher.RequestID) dispatcher.Event {
		return dispatcher.SubmitRequested{Request: id, Job: job, Wait: wait}
	})
}

// Fetch implements callerserver.Dispatcher.
func (q *requests) Fetch(ctx context.Context, team identifier.Team, submission identifier.SubmissionID, wait time.Duration) (declarer.Status, error) {
	return q.ask(ctx, submission, func(id dispatcher.RequestID) dispatcher.Event {
		return dispatcher.FetchRequested{Request: id, Team: team, Submission: submission, Wait: wait}
	})
}

// Cancel implements callerserver.Dispatcher.
func (q *requests) Cancel(ctx context.Context, team identifier.Team, submission identifier.SubmissionID) (declarer.Status, error) {
	return q.ask(ctx, submission, func(id dispatcher.RequestID) dispatcher.Event {
		return dispatcher.CancelRequested{Request: id, Team: team, Submission: submission}
	})
}

// ask queues a request for the machine and waits for the reply. It returns a
// callerserver.BusyError when the queue is full.
func (q *requests) ask(ctx context.Context, submission identifier.SubmissionID, event func(dispatcher.RequestID) dispatcher.Event) (declarer.Status, error) {
	id, answer := q.register()
	defer q.forget(id)
	if !q.queue.offer(event(id)) {
		return declarer.Status{}, &callerserver.BusyError{RetryAfter: busyRetryAfter}
	}
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		q.queue.put(dispatcher.RequestAbandoned{Request: id, Submission: submission})
		return declarer.Status{}, ctx.Err()
	}
}

func (q *requests) register() (dispatcher.RequestID, chan declarer.Status) {
	id := dispatcher.RequestID(q.last.Add(1))
	answer := make(chan declarer.Status, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open[id] = answer
	return id, answer
}

func (q *requests) forget(id dispatcher.RequestID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, id)
}

// answer passes a reply to the request that waits for it.
func (q *requests) answer(r dispatcher.Reply) {
	q.mu.Lock()
	answer := q.open[r.Request]
	q.mu.Unlock()
	if answer == nil {
		return // the caller has disconnected
	}
	select {
	case answer <- r.Status:
	default: // the request has its reply already
	}
}
