// Package sleeper waits for a time, or for less when the waiter has to end.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d, or until the context ends; then it returns the context's
// error.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
