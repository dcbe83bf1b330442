package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Machine.
type Options struct {
	Self   identifier.Member
	Domain identifier.FailureDomain
	Weight int // share of the backend servers, in thousandths of a core of this VM
	Bounds Bounds
	// Neighborhood is the largest number of VMs that all report to each other
	// often; 0 takes the default.
	Neighborhood int

	defects defects
}

func (o Options) neighborhood() int {
	if o.Neighborhood > 0 {
		return o.Neighborhood
	}
	return defaultNeighborhood
}

// defects switch off protections against two runs of a task at a time, for tests
// that show that the histories find what is missing.
type defects struct {
	orphansAtOnce  bool // a home starts orphans again without waiting for their end
	keepsUnclaimed bool // a new owner extends runs that no home has claimed
	noQuarantine   bool // requests that waited through a pause are taken
}

// Bounds are the times that backend servers and callers keep to.
type Bounds struct {
	LongestLease time.Duration // a server shortens longer leases to this
	ResendDelay  time.Duration // a caller sends a job again at the earliest after this
}

// Kept reports whether runs of a lost job have ended by the time that its caller
// sends it again.
func (b Bounds) Kept() bool { return b.ResendDelay >= orphanBound }

const (
	// silenceBound is how long a peer may be silent until its runs are stopped
	// and its servers taken over: four load reports, and well under the time
	// after which a caller sends a job again.
	silenceBound = 400 * time.Millisecond
	// reportInterval is the longest time between two load reports.
	reportInterval = 100 * time.Millisecond
	// reportSpacing is the shortest time between two load reports: the work that
	// starts on one VM in this time is less than one of its servers holds.
	reportSpacing = 30 * time.Millisecond
	// peersPerInterval is the number of neighbors that lengthens the shortest time
	// between two load reports once more, so that a small VM sends about 100 a second.
	peersPerInterval = 6

	// leaseLength is the lease that an order asks for. With silenceBound it stays
	// under the time after which a caller sends a job again, and it is over twice
	// lookWait.
	leaseLength = 700 * time.Millisecond
	// lookWait is how long a look at a server waits for an end.
	lookWait = 300 * time.Millisecond
	// clockDrift is how much slower than real time a server's clock may be, and
	// driftPercent the same in percent.
	clockDrift   = driftPercent / 100.0
	driftPercent = 2
	// orderSlack covers the answer's way back when a lease's lapse is awaited.
	orderSlack = 30 * time.Millisecond

	// claimWindow is how long a new owner waits for homes to claim runs that it
	// found on a server: a load report and a link's round trip between failure
	// domains, several times. Their lease is not extended meanwhile.
	claimWindow = 150 * time.Millisecond
	// tickBound is the longest time between two ticks.
	tickBound = 50 * time.Millisecond
	// orphanBound is how long after an owner last heard a home its unclaimed runs
	// may still go on: it starts and extends them until it misses their home, and
	// then their lease lapses.
	orphanBound = silenceBound + tickBound + leaseLength*(100+driftPercent)/100 + 2*orderSlack

	// startupGrace is how long a fresh VM listens to its peers before it takes
	// over servers that nobody seems to own.
	startupGrace = 800 * time.Millisecond
	// minorityDelay is how long a VM that has lost the majority of its peers
	// waits before it takes over a server of a lost one.
	minorityDelay = 2 * time.Second
	// outvotedFor is how long a VM in the minority takes no servers over after one
	// has followed another VM: cuts that last longer are found by the next try.
	outvotedFor = 10 * time.Second
	// rebalanceDelay is how long the proposed owner of a server must stay the
	// same until a live owner releases the server to it.
	rebalanceDelay = time.Second
	// yieldFor is the first pause after another VM's higher token, and
	// longestYield bounds its doubling.
	yieldFor     = 500 * time.Millisecond
	longestYield = 8 * time.Second
	// forgetPeerAfter is how long a silent peer counts towards the majority.
	forgetPeerAfter = 30 * time.Second

	// retryUnreachable is the pause before a server that gave no answer is
	// looked at again.
	retryUnreachable = 250 * time.Millisecond
	// suspendFirst is the first pause after a server that failed what it
	// started, and suspendLongest bounds its doubling.
	suspendFirst   = 400 * time.Millisecond
	suspendLongest = 3 * time.Second
	// suspectFailures is the number of runs in a row that a server has to fail
	// before it is suspended: one failure is usually the task's own fault.
	suspectFailures = 2

	// wakeQuarantine is how long requests are refused after this VM was paused:
	// they may have waited in its socket and been sent elsewhere since.
	wakeQuarantine = 300 * time.Millisecond

	// networkAllowance is taken off a job's slack for messages and calls.
	networkAllowance = 15 * time.Millisecond

	// maxQueue bounds the tasks that wait at one owner.
	maxQueue = 4096
	// maxOpenJobs bounds the jobs of one home.
	maxOpenJobs = 4096
	// maxTasksPerJob bounds one job.
	maxTasksPerJob = 2048
	// endedMemory is how long an owner remembers how a run ended, for homes
	// whose link was lost: longer than a link takes to come back or be given up.
	endedMemory = 5 * time.Second
)
