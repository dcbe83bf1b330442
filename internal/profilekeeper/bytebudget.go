package profilekeeper

import "time"

// byteBudget is a token bucket that limits the bytes sent over time. One message
// may overdraw it, so that a message larger than the burst can still be sent.
type byteBudget struct {
	rate, burst float64 // bytes per second, bytes
	available   float64
	updatedAt   time.Time
}

func newByteBudget(now time.Time, rate, burst float64) byteBudget {
	return byteBudget{rate: rate, burst: burst, available: burst, updatedAt: now}
}

// spend deducts bytes from the budget. It deducts nothing and reports false if
// the budget is exhausted.
func (b *byteBudget) spend(now time.Time, bytes int) bool {
	b.available = min(b.burst, b.available+now.Sub(b.updatedAt).Seconds()*b.rate)
	b.updatedAt = now
	if b.available <= 0 {
		return false
	}
	b.available -= float64(bytes)
	return true
}
