package limiter

import "time"

const (
	retryBurst = 50.0 // greatest number of tokens
	retryRate  = 10.0 // tokens added per second, besides those for first starts
)

// tokenBucket is the retry budget of an entry VM, which bounds repeated starts. All
// profiles share it. A profile only states the fraction of a token that each first
// start of its jobs adds; each repeated start takes one token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket() tokenBucket { return tokenBucket{tokens: retryBurst} }

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		if !b.refilledAt.IsZero() {
			b.add(elapsed.Seconds() * retryRate)
		}
		b.refilledAt = now
	}
}

func (b *tokenBucket) add(tokens float64) { b.tokens = min(retryBurst, b.tokens+tokens) }

func (b *tokenBucket) allowsRetry() bool { return b.tokens >= 1 }

func (b *tokenBucket) countStart(fraction float64) { b.add(fraction) }

func (b *tokenBucket) countRetry() { b.tokens-- }
