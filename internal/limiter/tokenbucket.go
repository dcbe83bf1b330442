package limiter

import "time"

const (
	retryBurst = 50.0 // tokens at most
	retryRate  = 10.0 // tokens a second, without any start
)

// tokenBucket holds the budget of repeated starts: each first start adds the
// fraction of a token that its profile states, each repeated start takes one. All
// profiles of an entry VM share it.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

func newTokenBucket() tokenBucket { return tokenBucket{tokens: retryBurst} }

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		if !b.filledAt.IsZero() {
			b.add(elapsed.Seconds() * retryRate)
		}
		b.filledAt = now
	}
}

func (b *tokenBucket) add(tokens float64) { b.tokens = min(retryBurst, b.tokens+tokens) }

func (b *tokenBucket) allows() bool { return b.tokens >= 1 }

func (b *tokenBucket) countStart(fraction float64) { b.add(fraction) }

func (b *tokenBucket) countRetry() { b.tokens-- }
