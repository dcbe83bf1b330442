// Package sleeper waits for a duration or until a context ends.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil. If the context ends before, it returns the
// context's error at once. If d is not above 0, it doesn't wait and returns the
// context's error, if any.
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
