package backendcaller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// Start starts a task on the backend server at an address and waits for its
// end. If the answer is lost, it queries the server for the task for a bounded
// time before it returns Lost. It sends the start at most once.
func (c *Caller) Start(ctx context.Context, address string, s StartRequest) StartResult {
	data, err := json.Marshal(newStartBody(s))
	if err != nil {
		return NotStarted{Reason: BadRequest, Detail: err.Error()}
	}
	conn, err := c.conn(ctx, address)
	if err != nil {
		return NotStarted{Reason: Unreachable, Detail: err.Error()}
	}
	leaseEnd := time.Now().Add(s.Lease)
	startCtx, cancel := context.WithDeadline(ctx, leaseEnd.Add(c.opts.AnswerGrace))
	defer cancel()
	r := newRequest(startCtx, address, http.MethodPost, "/v1/tasks/start", data)
	var resp endingResponse
	err = exchange(conn, r, &resp)
	result, known := c.exchangeResult(r, resp, err)
	if known {
		return result
	}
	if ctx.Err() != nil {
		c.counters.countWasted(StartMessage, 1)
		return Lost{Detail: ctx.Err().Error()}
	}
	return c.queryLostResult(ctx, address, s, leaseEnd, err)
}

func newStartBody(s StartRequest) startBody {
	return startBody{
		taskRefBody:  taskRefBody(s.Task),
		Holder:       s.Holder,
		Unrepeatable: s.Unrepeatable,
		LeaseMillis:  s.Lease.Milliseconds(),
		Millicores:   s.Millicores,
		Memory:       s.Memory,
		Accelerators: s.Accelerators,
		Payload:      s.Payload,
	}
}

// exchangeResult returns the result of a start whose exchange has ended, or false
// if the answer was lost. It counts the messages of an answered start.
func (c *Caller) exchangeResult(r *http.Request, resp endingResponse, err error) (StartResult, bool) {
	if err == nil {
		result, ok := resp.result()
		if ok {
			c.counters.countNeeded(StartMessage, 1)
			c.counters.countNeeded(ResultMessage, 1)
		}
		return result, ok
	}
	var refused *statusError
	if errors.As(err, &refused) {
		c.counters.countWasted(StartMessage, 1)
		c.counters.countWasted(RefusalMessage, 1)
		return NotStarted{Reason: RefusalReason(refused.refusal.Refused), Detail: refused.refusal.Detail}, true
	}
	if body, ok := r.Body.(*requestBody); ok && !body.readBegun.Load() {
		return NotStarted{Reason: Unreachable, Detail: err.Error()}, true
	}
	return nil, false
}

// queryLostResult queries a task whose answer was lost, for LostAnswerTimeout or,
// if the task runs, until its end and at most until AnswerGrace after its lease.
// That the server does not know the task proves nothing: the start may still be
// in transit, or the server may be a new one at the same address.
func (c *Caller) queryLostResult(ctx context.Context, address string, s StartRequest, leaseEnd time.Time, cause error) StartResult {
	queryUntil := time.Now().Add(c.opts.LostAnswerTimeout)
	detail := cause.Error()
	for ctx.Err() == nil && c.ctx.Err() == nil && time.Now().Before(queryUntil) {
		wait := min(time.Until(queryUntil), c.opts.RequestTimeout) / 2
		report, err := c.query(ctx, address, s.Task, wait)
		switch {
		case err != nil:
			detail = err.Error()
			_ = sleeper.Sleep(ctx, c.opts.ReconnectDelay) // the loop checks ctx
		case report.Result != nil:
			c.counters.countNeeded(StartMessage, 1)
			return report.Result
		case report.State != Running:
			c.counters.countWasted(StartMessage, 1)
			return Lost{Detail: "the answer was lost, and the server says: " + string(report.State)}
		default:
			queryUntil = leaseEnd.Add(c.opts.AnswerGrace)
		}
	}
	c.counters.countWasted(StartMessage, 1)
	return Lost{Detail: "the answer was lost: " + detail}
}
