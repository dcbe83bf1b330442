package backendserver

import (
	"encoding/json"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// The reasons for which a start is refused.
const (
	refusedFull      = "full"
	refusedLeaving   = "leaving"
	refusedTooLarge  = "tooLarge"
	refusedCancelled = "cancelled" // a stop came before the start
)

// start starts a task, or returns the reason why it doesn't.
func (s *server) start(req startRequest) (t *task, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.refusal(req); refusal != "" {
		s.auditor.refuse(refusal)
		return nil, refusal
	}
	now := time.Now()
	t = s.newTask(now, req)
	t.sequence = s.auditor.start(AuditRecord{
		Server:       s.id,
		Submission:   req.Submission,
		Index:        req.Index,
		Holder:       req.Holder,
		Unrepeatable: req.Unrepeatable,
		StartedAt:    now,
	})
	s.table.add(t)
	s.running++
	t.timer = time.AfterFunc(t.rest(now), func() { s.expire(t) })
	return t, ""
}

// refusal returns the reason to refuse a start, or "". The caller holds mu.
func (s *server) refusal(req startRequest) string {
	known := s.table.tasks[req.ref()]
	switch {
	case known != nil && known.cancelled:
		return refusedCancelled
	case s.state() == platformcaller.Leaving:
		return refusedLeaving
	case req.Millicores > s.opts.Millicores || req.Memory > s.opts.Memory || req.Accelerators > s.opts.Accelerators:
		return refusedTooLarge
	case s.http == nil || s.faults.Full || s.running >= s.opts.Slots:
		return refusedFull
	default:
		return ""
	}
}

// newTask returns the task of a request. The caller holds mu.
func (s *server) newTask(now time.Time, req startRequest) *task {
	t := &task{
		ref:        req.ref(),
		raw:        req.Payload,
		millicores: req.Millicores,
		memory:     req.Memory,
		startedAt:  now,
		resumedAt:  now,
		leaseEnd:   now.Add(time.Duration(req.LeaseMillis) * time.Millisecond),
		speed:      1,
		done:       make(chan struct{}),
	}
	if err := json.Unmarshal(req.Payload, &t.payload); err != nil {
		t.payload = payload{Fail: true}
		t.detail = "the payload is not for the stand-in: " + err.Error()
	}
	if t.payload.Millicores > 0 {
		t.millicores = t.payload.Millicores
	}
	if t.payload.Memory > 0 {
		t.memory = t.payload.Memory
	}
	t.total = t.payload.runTime()
	if s.faults.Straggle > 0 {
		t.total = time.Duration(float64(t.total) * s.faults.Straggle)
	}
	if s.faults.Failing {
		t.payload.Fail = true
		t.detail = "the backend server fails every task"
		t.total = min(t.total, failingRunTime)
	}
	t.work = t.total
	return t
}

// expire ends a task whose timer fired.
func (s *server) expire(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case !t.running():
		return
	case s.faults.Frozen:
		s.thawing = append(s.thawing, t)
		return
	}
	t.settle(now)
	switch {
	case t.work > 0 && now.Before(t.leaseEnd):
		t.timer.Reset(t.rest(now)) // throttled meanwhile
	case t.work > 0:
		s.end(now, t, LeaseLapsed, "the task's lease lapsed")
	case t.payload.Fail:
		s.end(now, t, TaskFailed, t.failure())
	default:
		s.end(now, t, Succeeded, "")
	}
}

func (t *task) failure() string {
	if t.detail == "" {
		return "the payload asks to fail"
	}
	return t.detail
}

// end ends a task. The caller holds mu.
func (s *server) end(now time.Time, t *task, ending Ending, detail string) {
	t.timer.Stop()
	t.ending = ending
	t.detail = detail
	t.runTime = now.Sub(t.startedAt)
	if ending == Succeeded {
		t.output = t.encodeOutput()
	}
	t.raw = nil
	s.running--
	s.auditor.end(t.sequence, now, ending)
	s.table.keep(now, t)
	close(t.done)
}

// thaw returns the tasks whose timers fired while the server was frozen, if it
// is no longer. The caller holds mu.
func (s *server) thaw() []*task {
	if s.faults.Frozen {
		return nil
	}
	thawed := s.thawing
	s.thawing = nil
	return thawed
}

// stop stops a task and returns its state before.
func (s *server) stop(ref identifier.TaskRef) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t, known := s.table.tasks[ref]
	switch {
	case !known && now.Before(s.table.forgetsTill):
		return stateUnknown
	case !known:
		s.cancel(now, ref)
		return stateNeverStarted
	case t.cancelled:
		return stateNeverStarted
	case t.running():
		for started := t; started != nil; started = started.earlier {
			if started.running() {
				s.end(now, started, Stopped, "stopped on request")
			}
		}
		return stateStopped
	default:
		return stateEnded
	}
}

// cancel keeps in mind that a task that was never started shall not be. The
// caller holds mu.
func (s *server) cancel(now time.Time, ref identifier.TaskRef) {
	t := &task{ref: ref, cancelled: true}
	s.table.tasks[ref] = t
	s.table.keep(now, t)
}
