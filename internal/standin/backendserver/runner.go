package backendserver

import (
	"encoding/json"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// The reasons to refuse a start.
const (
	refusedFull      = "full"
	refusedLeaving   = "leaving"
	refusedTooLarge  = "tooLarge"
	refusedCancelled = "cancelled" // a stop of the task came before its start
)

// startTask starts a task, or returns the reason why it refuses to.
func (s *server) startTask(req startRequest) (t *task, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.refusalReason(req); refusal != "" {
		s.auditor.recordRefusal(refusal)
		return nil, refusal
	}
	now := time.Now()
	t = s.newTask(now, req)
	t.sequence = s.auditor.recordStart(AuditRecord{
		Server:       s.id,
		Submission:   req.Submission,
		Index:        req.Index,
		Holder:       req.Holder,
		Unrepeatable: req.Unrepeatable,
		StartedAt:    now,
	})
	s.table.add(t)
	s.running++
	t.timer = time.AfterFunc(t.timeToEnd(now), func() { s.handleTimer(t) })
	return t, ""
}

// refusalReason returns the reason to refuse a start, or "" to accept it. The
// caller holds mu.
func (s *server) refusalReason(req startRequest) string {
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

// newTask returns the task that a request describes. The caller holds mu.
func (s *server) newTask(now time.Time, req startRequest) *task {
	t := &task{
		ref:           req.ref(),
		rawPayload:    req.Payload,
		millicores:    req.Millicores,
		memory:        req.Memory,
		startedAt:     now,
		workUpdatedAt: now,
		leaseEnd:      now.Add(time.Duration(req.LeaseMillis) * time.Millisecond),
		speed:         1,
		done:          make(chan struct{}),
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
	t.totalWork = t.payload.runTime()
	if s.faults.Straggle > 0 {
		t.totalWork = time.Duration(float64(t.totalWork) * s.faults.Straggle)
	}
	if s.faults.Failing {
		t.payload.Fail = true
		t.detail = "the backend server fails every task"
		t.totalWork = min(t.totalWork, failingRunTime)
	}
	t.workLeft = t.totalWork
	return t
}

// handleTimer ends a task whose timer fired, or restarts the timer if work is
// left. On a frozen server the task waits in frozenTasks.
func (s *server) handleTimer(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case !t.running():
		return
	case s.faults.Frozen:
		s.frozenTasks = append(s.frozenTasks, t)
		return
	}
	t.updateWork(now)
	switch {
	case t.workLeft > 0 && now.Before(t.leaseEnd):
		t.timer.Reset(t.timeToEnd(now)) // the task was throttled in the meantime
	case t.workLeft > 0:
		s.endTask(now, t, LeaseLapsed, "the task's lease lapsed")
	case t.payload.Fail:
		s.endTask(now, t, TaskFailed, t.failureDetail())
	default:
		s.endTask(now, t, Succeeded, "")
	}
}

func (t *task) failureDetail() string {
	if t.detail == "" {
		return "the payload asks to fail"
	}
	return t.detail
}

// endTask ends a task. The caller holds mu.
func (s *server) endTask(now time.Time, t *task, ending Ending, detail string) {
	t.timer.Stop()
	t.ending = ending
	t.detail = detail
	t.runTime = now.Sub(t.startedAt)
	if ending == Succeeded {
		t.output = t.encodeOutput()
	}
	t.rawPayload = nil
	s.running--
	s.auditor.recordEnd(t.sequence, now, ending)
	s.table.addEnded(now, t)
	close(t.done)
}

// takeFrozenTasks removes and returns the tasks whose timers fired while the
// server was frozen; none if it is still frozen. The caller holds mu.
func (s *server) takeFrozenTasks() []*task {
	if s.faults.Frozen {
		return nil
	}
	tasks := s.frozenTasks
	s.frozenTasks = nil
	return tasks
}

// stopTask stops a task, with its duplicates, and returns the state to answer
// with.
func (s *server) stopTask(ref identifier.TaskRef) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t, known := s.table.tasks[ref]
	switch {
	case !known && now.Before(s.table.incompleteUntil):
		return stateUnknown
	case !known:
		s.cancelBeforeStart(now, ref)
		return stateNeverStarted
	case t.cancelled:
		return stateNeverStarted
	case t.running():
		for started := t; started != nil; started = started.earlier {
			if started.running() {
				s.endTask(now, started, Stopped, "stopped on request")
			}
		}
		return stateStopped
	default:
		return stateEnded
	}
}

// cancelBeforeStart leaves a tombstone for a task that was never started, so that
// a later start is refused. The caller holds mu.
func (s *server) cancelBeforeStart(now time.Time, ref identifier.TaskRef) {
	t := &task{ref: ref, cancelled: true}
	s.table.tasks[ref] = t
	s.table.addEnded(now, t)
}
