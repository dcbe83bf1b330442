package sleeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// TestSleep checks that Sleep waits for the duration, returns at once for a negative
// one, and ends with its context.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		if err := Sleep(t.Context(), time.Second); err != nil || time.Since(started) != time.Second {
			t.Errorf("%v after %v", err, time.Since(started))
		}
		if err := Sleep(t.Context(), -time.Second); err != nil || time.Since(started) != time.Second {
			t.Errorf("%v after %v", err, time.Since(started))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := Sleep(ctx, time.Hour); !errors.Is(err, context.DeadlineExceeded) || time.Since(started) != 2*time.Second {
			t.Errorf("%v after %v", err, time.Since(started))
		}
		if err := Sleep(ctx, 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v for duration 0 after the context ended", err)
		}
	})
}
