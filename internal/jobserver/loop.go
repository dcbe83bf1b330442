package jobserver

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/pausedetector"
	"github.com/peppertrack/peppertrack/internal/repeater"
)

// run steps the state machine until the server is closed. Before an event that
// follows a pause of this VM, it reports the pause.
func (s *Server) run() {
	m := repeater.New(time.Now(), repeater.Options{
		Self: s.opts.Self, Domain: s.opts.Domain, Weight: s.opts.Weight, Bounds: s.opts.Bounds,
		ReturnTasks: !s.opts.ByReportsAlone, LateTasksLast: !s.opts.ByReportsAlone,
		KeepPairsApart: s.opts.KeepPairsApart,
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pauses := pausedetector.New()
	for {
		var e repeater.Event
		select {
		case <-s.ctx.Done():
			return
		case e = <-s.events:
		case <-ticker.C:
			e = repeater.Ticked{}
		}
		if gap := pauses.Gap(); gap > pauseThreshold {
			s.step(m, repeater.Resumed{Gap: gap})
		}
		s.step(m, e)
	}
}

// step passes an event to the state machine, carries out its effects and publishes
// the machine's state.
func (s *Server) step(m *repeater.Machine, e repeater.Event) {
	for _, effect := range m.Step(time.Now(), e) {
		s.execute(effect)
	}
	if _, ok := e.(repeater.Ticked); ok {
		c := m.Counters()
		s.counters.Store(&c)
	}
}

func (s *Server) execute(e repeater.Effect) {
	switch e := e.(type) {
	case repeater.Reply:
		s.outcomes.deliver(e.Request, e.Outcome)
	case repeater.RouteReply:
		s.decisions.deliver(e.Request, e.Decision)
	case repeater.ReadinessReply:
		s.readiness.deliver(e.Request, e.Ready)
	case repeater.ReadRoutes:
		if s.opts.ReadRoutes != nil {
			s.opts.ReadRoutes()
		}
	case repeater.SendMessage:
		s.linker.Send(e.To, e.Message) // messages lost with a link are sent again once it is back
	case repeater.Broadcast:
		s.linker.Broadcast(e.To, e.Message)
	case repeater.KeepLinks:
		s.linker.Restrict(*s.vmAddresses.Load(), e.VMs, e.All)
	case repeater.StartRun:
		s.group.Go(func() error { s.startRun(e); return nil })
	case repeater.StopRun:
		s.group.Go(func() error { s.stopRun(e); return nil })
	case repeater.Poll:
		s.group.Go(func() error { s.poll(e); return nil })
	case repeater.LogDecision:
		_ = s.opts.Logger.Log(append([]any{"level", "info", "decision", e.Decision}, e.Fields...)...)
	case repeater.Drained:
		close(s.drained)
	}
}

func (s *Server) startRun(call repeater.StartRun) {
	started := time.Now()
	s.call(call.Timeout, func(ctx context.Context) repeater.Event {
		result, clock := s.opts.BackendClient.Start(ctx, call)
		s.latencies.recordStart(result, time.Since(started))
		return repeater.StartAnswered{Call: call.Call, Result: result, Clock: clock}
	}, repeater.StartAnswered{Call: call.Call, Result: repeater.StartUnanswered})
}

func (s *Server) stopRun(call repeater.StopRun) {
	s.call(call.Timeout, func(ctx context.Context) repeater.Event {
		result, clock := s.opts.BackendClient.Stop(ctx, call)
		return repeater.StopAnswered{Call: call.Call, Result: result, Clock: clock}
	}, repeater.StopAnswered{Call: call.Call, Result: repeater.StopUnanswered})
}

func (s *Server) poll(call repeater.Poll) {
	s.call(call.Timeout, func(ctx context.Context) repeater.Event {
		result, clock := s.opts.BackendClient.Poll(ctx, call)
		return repeater.PollAnswered{Call: call.Call, Result: result, Clock: clock}
	}, repeater.PollAnswered{Call: call.Call, Result: repeater.PollResult{Status: repeater.PollUnanswered}})
}

// call makes a call to a backend server and reports its answer, or after the timeout
// that there is none. A late answer is dropped, but awaited for lateAnswerTime, since
// giving the call up closes its connection: when a VM is short of processor time, many
// answers are a little late, and new connections for them would make it shorter still.
func (s *Server) call(timeout time.Duration, call func(context.Context) repeater.Event, unanswered repeater.Event) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout+lateAnswerTime)
	defer cancel()
	reported := time.AfterFunc(timeout, func() { s.post(unanswered) })
	if answer := call(ctx); reported.Stop() {
		s.post(answer)
	}
}
