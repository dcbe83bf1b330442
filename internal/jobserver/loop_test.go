package jobserver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/repeater"
)

// slowClient answers starts after a delay, or not at all.
type slowClient struct {
	BackendClient
	delay time.Duration
	ended error // of the latest start's context, when the call ended
}

func (c *slowClient) Start(ctx context.Context, _ repeater.StartRun) (repeater.StartResult, repeater.ServerClock) {
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
	}
	c.ended = ctx.Err()
	return repeater.StartAccepted, repeater.ServerClock{}
}

// TestLateAnswerKeepsItsConnection guards against a new connection for each answer that
// is late: a call is reported as unanswered at its timeout, once, and not ended then.
func TestLateAnswerKeepsItsConnection(t *testing.T) {
	const timeout = 30 * time.Millisecond
	tests := []struct {
		name      string
		delay     time.Duration
		result    repeater.StartResult
		cancelled bool
	}{
		{"in time", timeout / 2, repeater.StartAccepted, false},
		{"late", 2 * timeout, repeater.StartUnanswered, false},
		{"never", time.Minute, repeater.StartUnanswered, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &slowClient{delay: test.delay}
				s := New(Options{Self: identifier.Member{VM: "vm"}, BackendClient: c, Logger: log.NewNopLogger()})
				started := time.Now()
				s.group.Go(func() error { s.startRun(repeater.StartRun{Call: 1, Timeout: timeout}); return nil })
				answer := (<-s.events).(repeater.StartAnswered)
				if took := time.Since(started); answer.Result != test.result || took > timeout {
					t.Errorf("%v after %v, want %v within %v", answer.Result, took, test.result, timeout)
				}
				_ = s.group.Wait() // the calls return no errors
				if (c.ended != nil) != test.cancelled {
					t.Errorf("the call ended with %v", c.ended)
				}
				if len(s.events) > 0 {
					t.Error("the call is reported twice")
				}
				s.cancel()
			})
		})
	}
}
