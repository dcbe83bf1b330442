package placer

import "time"

// borrowParams sets how this VM requests slots from their owners and returns them.
type borrowParams struct {
	maxLenders    int           // owners asked at once
	reassignAfter time.Duration // time without a grant after which a request moves to other owners
	reuseTime     time.Duration // for which a granted slot may run one task after another
	idleTime      time.Duration // for which an unused granted slot is kept when no task waits
	returnDelay   time.Duration // by which the report of returned slots is delayed, to batch them
}

var (
	minLatencyParams = borrowParams{
		maxLenders:    6,
		reassignAfter: 50 * time.Millisecond,
		reuseTime:     200 * time.Millisecond,
		idleTime:      10 * time.Millisecond,
		returnDelay:   5 * time.Millisecond,
	}
	minMessagesParams = borrowParams{
		maxLenders:    2,
		reassignAfter: 200 * time.Millisecond,
		reuseTime:     time.Second,
		idleTime:      100 * time.Millisecond,
		returnDelay:   40 * time.Millisecond,
	}
)
