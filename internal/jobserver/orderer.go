package jobserver

import (
	"context"

	"github.com/peppertrack/peppertrack/internal/repeater"
)

// Orderer sends orders to backend servers. Its methods return when the server has
// answered or the context has ended.
type Orderer interface {
	Start(ctx context.Context, o repeater.StartRun) (repeater.StartResult, repeater.ServerClock)
	Stop(ctx context.Context, o repeater.StopRun) (repeater.StopResult, repeater.ServerClock)
	Look(ctx context.Context, o repeater.Poll) (repeater.PollResult, repeater.ServerClock)
}
