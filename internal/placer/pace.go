package placer

import "time"

// pace is how eagerly a VM asks for slots and gives them back.
type pace struct {
	asks        int           // owners asked at once
	patience    time.Duration // time without a grant after which a wish moves to other owners
	hold        time.Duration // for which a granted slot may serve one task after another
	idle        time.Duration // for which a granted slot is kept when no task waits
	returnDelay time.Duration // for which reports of returned slots are batched
}

var (
	responsePace = pace{
		asks:        6,
		patience:    50 * time.Millisecond,
		hold:        200 * time.Millisecond,
		idle:        10 * time.Millisecond,
		returnDelay: 5 * time.Millisecond,
	}
	messagesPace = pace{
		asks:        2,
		patience:    200 * time.Millisecond,
		hold:        time.Second,
		idle:        100 * time.Millisecond,
		returnDelay: 40 * time.Millisecond,
	}
)
