package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
)

// Refusal says why a job was not admitted.
type Refusal struct {
	Cause      declarer.RefusalCause
	Detail     string
	RetryAfter time.Duration // 0: a retry can't succeed
}
