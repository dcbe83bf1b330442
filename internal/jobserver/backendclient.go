package jobserver

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/repeater"
)

// BackendClient calls backend servers. Its methods return when the server has
// answered or the context has ended.
type BackendClient interface {
	Start(ctx context.Context, call repeater.StartRun) (repeater.StartResult, repeater.ServerClock)
	Stop(ctx context.Context, call repeater.StopRun) (repeater.StopResult, repeater.ServerClock)
	Poll(ctx context.Context, call repeater.Poll) (repeater.PollResult, repeater.ServerClock)
}
