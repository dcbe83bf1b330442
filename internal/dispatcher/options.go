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

// defects are faults that tests inject to show that the checks detect them.
type defects struct {
	restartUnknown bool // a task whose outcome is unknown goes back to the queue
	refuseStarted  bool // an overdue job is refused though a task has started
	mixOutputs     bool // outputs are put at the wrong index
	endEarly       bool // a job is complete before its last task has ended
	skipClaim      bool // a job starts without a claim
	dropForwards   bool // requests forwarded to an unlinked peer are neither sent again nor answered
	denyStarts     bool // running tasks are reported as never started
}

const (
	// minBatchSize and maxBatchSize bound the tasks taken from the queue at once.
	minBatchSize = 4
	maxBatchSize = 256
	// leaseMargin is added to the time left until a job's deadline to make the lease of its tasks.
	leaseMargin = 200 * time.Millisecond
	// maxForwards bounds the forwarded requests that wait for a peer.
	maxForwards = 50_000
	// maxWaiters bounds the requests that wait for one job.
	maxWaiters = 64
	// maxHops bounds how often a request is forwarded.
	maxHops = 3
	// forwardTimeout is how long a forwarded request waits beyond its own deadline or wait.
	forwardTimeout = time.Second
	// assumedDeadline stands for the deadline of a forwarded submission when neither
	// the job nor a known profile gives one.
	assumedDeadline = 10 * time.Second
	// resendDelay is the delay before a forwarded request whose peer is not linked is sent again.
	resendDelay = 200 * time.Millisecond
	// maxForwardAttempts bounds the attempts to forward one request.
	maxForwardAttempts = 50
	// claimTimeout bounds how long a request for a claim stays undecided: while this
	// VM catches up, or waits for the answer of the runner or the witness. It covers
	// the time in which a silent member is replaced and its records are transferred.
	claimTimeout = 5 * time.Second
	// unlinkedPeerRetention is how long an entry VM whose link was lost is assumed to
	// keep running behind a network partition.
	unlinkedPeerRetention = 10 * time.Minute
	// profilesCheckTime bounds how long jobs are refused after a pause until the store
	// confirms the profiles: twice the response time of a slow store.
	profilesCheckTime = 500 * time.Millisecond
	// unreachableRetryAfter is the delay after which a caller should retry when the
	// home of its submission, or something that its job needs, can't be reached.
	unreachableRetryAfter = time.Second

	// evacuatedRetryAfter is the time after which a refused caller may ask again whose
	// backend servers are all evacuated: operators take that long at least to move callers
	// or to take a failure domain back.
	evacuatedRetryAfter = 5 * time.Second
)
