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
	ctx, cancel := context.WithTimeout(s.ctx, call.Timeout)
	defer cancel()
	started := time.Now()
	result, clock := s.opts.BackendClient.Start(ctx, call)
	s.latencies.recordStart(result, time.Since(started))
	s.post(repeater.StartAnswered{Call: call.Call, Result: result, Clock: clock})
}

func (s *Server) stopRun(call repeater.StopRun) {
	ctx, cancel := context.WithTimeout(s.ctx, call.Timeout)
	defer cancel()
	result, clock := s.opts.BackendClient.Stop(ctx, call)
	s.post(repeater.StopAnswered{Call: call.Call, Result: result, Clock: clock})
}

func (s *Server) poll(call repeater.Poll) {
	ctx, cancel := context.WithTimeout(s.ctx, call.Timeout)
	defer cancel()
	result, clock := s.opts.BackendClient.Poll(ctx, call)
	s.post(repeater.PollAnswered{Call: call.Call, Result: result, Clock: clock})
}
