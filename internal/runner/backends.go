package runner

import (
	"context"
	"sync"

	"github.com/peppertrack/peppertrack/internal/backendcaller"
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
)

// backends carries out the effects that concern backend servers.
type backends struct {
	ctx    context.Context
	caller *backendcaller.Caller
	holder identifier.VMID
	queue  eventQueue[dispatcher.Event]
	calls  sync.WaitGroup
}

// start starts a task in the background and queues its outcome as an event.
func (b *backends) start(s dispatcher.StartTask) {
	b.calls.Go(func() {
		result := b.caller.Start(b.ctx, s.Address, backendcaller.StartRequest{
			Task:         s.Ref,
			Holder:       b.holder,
			Unrepeatable: s.Unrepeatable,
			Lease:        s.Lease,
			Millicores:   s.Task.Cores,
			Memory:       s.Task.Memory,
			Accelerators: int(s.Task.Accelerators),
			Payload:      s.Task.Payload,
		})
		b.queue.put(dispatcher.StartTaskFinished{Ref: s.Ref, Backend: s.Backend, Outcome: outcomeOf(result)})
	})
}

// stop stops tasks; how they end is reported as the outcomes of their starts.
func (b *backends) stop(s dispatcher.StopTasks) {
	b.calls.Go(func() {
		_, _ = b.caller.Stop(b.ctx, s.Address, s.Refs) // a task that is not stopped ends with its lease
	})
}

// Close waits for all calls and closes the client.
func (b *backends) Close() {
	b.calls.Wait()
	b.caller.Close()
}

func outcomeOf(result backendcaller.StartResult) dispatcher.StartOutcome {
	switch r := result.(type) {
	case backendcaller.Succeeded:
		return dispatcher.TaskSucceeded{Output: r.Output, RunTime: r.RunTime}
	case backendcaller.TaskFailed:
		return dispatcher.TaskFailed{Detail: string(r.Cause) + ": " + r.Detail, RunTime: r.RunTime}
	case backendcaller.NotStarted:
		return dispatcher.StartRefused{Reason: reasonOf(r.Reason)}
	case backendcaller.Lost:
		return dispatcher.OutcomeUnknown{Detail: r.Detail}
	default:
		return dispatcher.OutcomeUnknown{Detail: "unknown result"}
	}
}

func reasonOf(reason backendcaller.RefusalReason) placer.RefusalReason {
	switch reason {
	case backendcaller.Full:
		return placer.Full
	case backendcaller.Leaving:
		return placer.Leaving
	case backendcaller.TooLarge, backendcaller.BadRequest:
		return placer.TooLarge
	default:
		return placer.Unreachable
	}
}
