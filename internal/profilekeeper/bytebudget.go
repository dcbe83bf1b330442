package profilekeeper

import "time"

// byteBudget bounds the bytes of a kind of message over time. What is sent may
// overdraw it once, so that a message above the burst still passes.
type byteBudget struct {
	rate, burst float64 // bytes a second, bytes
	left        float64
	at          time.Time
}

func newByteBudget(now time.Time, rate, burst float64) byteBudget {
	return byteBudget{rate: rate, burst: burst, left: burst, at: now}
}

// spend takes bytes from the budget. It reports false, and takes none, when
// earlier spending has used it up.
func (b *byteBudget) spend(now time.Time, bytes int) bool {
	b.left = min(b.burst, b.left+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.left <= 0 {
		return false
	}
	b.left -= float64(bytes)
	return true
}
