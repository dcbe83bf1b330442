package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Machine.
type Options struct {
	Self           identifier.Member
	Domain         identifier.FailureDomain
	Domains        []identifier.FailureDomain // of the deployment, in the same order on every VM
	Rand           *rand.Rand
	MaxQueuedTasks int
	MaxRecords     int           // records of submissions
	Retention      time.Duration // of a record, from the creation of the submission id
	ClockBound     time.Duration // largest difference between two clocks
	Counters       *Counters

	defects defects
}

// defects break promises, for tests that show that the checks find it.
type defects struct {
	restartLost   bool // a task whose answer was lost goes back to the queue
	refuseStarted bool // an overdue job is refused though a task has started
	mixOutputs    bool // outputs are put at the wrong index
	endEarly      bool // a job is complete before its last task has ended
	skipClaim     bool // a job starts without a claim
	dropForwards  bool // requests of a lost peer are never sent again nor given up
	denyStarts    bool // running tasks are reported as never started
}

const (
	// firstBatch and largestBatch bound the tasks taken from the queue at one time.
	firstBatch   = 4
	largestBatch = 256
	// leaseMargin is added to the remaining deadline of a job to make the lease of its tasks.
	leaseMargin = 200 * time.Millisecond
	// maxForwards bounds the requests that wait for a peer.
	maxForwards = 50_000
	// maxWaiters bounds the requests that wait for one job.
	maxWaiters = 64
	// maxHops bounds how often a request is forwarded.
	maxHops = 3
	// forwardTimeout bounds how long a forwarded request waits beyond its own deadline.
	forwardTimeout = time.Second
	// longestForward bounds how long a submission waits for a peer when its deadline is not known.
	longestForward = 10 * time.Second
	// retryForward is the pause before a forward whose peer went away is sent again.
	retryForward = 200 * time.Millisecond
	// maxForwardAttempts bounds how often one request is sent to a peer.
	maxForwardAttempts = 50
	// claimTimeout bounds how long a claim waits for its witness. It covers the
	// time in which a silent member is replaced and its records move.
	claimTimeout = 5 * time.Second
	// forgetPeerAfter is how long a lost entry VM is taken to go on behind a cut.
	forgetPeerAfter = 10 * time.Minute
	// unreachableRetryAfter tells a caller when to come back to a home that can't be asked.
	unreachableRetryAfter = time.Second
)
