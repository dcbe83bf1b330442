package repeater

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Machine.
type Options struct {
	Self   identifier.Member
	Domain identifier.FailureDomain
	Weight int // relative share of the backend servers to own: processor time of this VM in thousandths of a core
	Bounds Bounds
	// MaxNeighborhood is the largest number of VMs that all report to each other
	// at short intervals; 0 selects the default.
	MaxNeighborhood int
	// MaxFarContacts is the largest number of VMs beyond the neighborhood that are all
	// contacts; 0 selects the default.
	MaxFarContacts int

	// ReturnTasks makes owners return tasks that they can't start at once, so that their
	// homes look for room elsewhere.
	ReturnTasks bool
	// LateTasksLast makes owners start tasks of late jobs after all others.
	LateTasksLast bool
	// KeepPairsApart makes owners measure which kinds of tasks slow each other down on one
	// server, and prefer other servers for them.
	KeepPairsApart bool

	defects defects
}

func (o Options) maxFarContacts() int {
	if o.MaxFarContacts > 0 {
		return o.MaxFarContacts
	}
	return defaultFarContacts
}

func (o Options) maxNeighborhood() int {
	if o.MaxNeighborhood > 0 {
		return o.MaxNeighborhood
	}
	return defaultNeighborhood
}

// defects switches off protections against two concurrent runs of a task. Tests
// use it to show that the simulated histories detect a missing protection.
type defects struct {
	skipOrphanWait      bool // a home reruns orphaned tasks without waiting for their runs to end
	extendUnclaimed     bool // a new owner extends a server's lease while no home has claimed its runs
	keepRunsAfterPause  bool // an owner that was paused continues the runs of other homes
	acceptStaleRequests bool // requests that waited through a pause are accepted
	trustOldRoutes      bool // requests are decided after a pause by routes that the store has not confirmed
	startEvacuated      bool // tasks are started on evacuated servers

	ignorePeersEvacuations bool // evacuations are learned from the store alone
}

// Bounds are the time limits that backend servers and callers guarantee.
type Bounds struct {
	LongestLease time.Duration // a server shortens longer leases to this
	ResendDelay  time.Duration // a caller waits at least this long before it submits a job again
}

// SafeToResubmit reports whether the runs of a lost job have ended by the time
// that its caller submits it again.
func (b Bounds) SafeToResubmit() bool { return b.ResendDelay >= orphanBound }

const (
	// silenceBound is how long a peer may be silent before the runs of its jobs are
	// stopped and its servers are taken over: four load reports, and well below the
	// time after which a caller submits a job again.
	silenceBound = 400 * time.Millisecond
	// reportInterval is the longest time between two load reports to a neighbor.
	reportInterval = 100 * time.Millisecond
	// minReportSpacing is the shortest time between two load reports: the work
	// that starts on one VM in this time is less than one of its servers holds.
	minReportSpacing = 30 * time.Millisecond
	// neighborsPerSpacing is the number of neighbors for which the shortest time
	// between two load reports grows by another minReportSpacing, so that a small
	// VM sends about 100 reports a second.
	neighborsPerSpacing = 6

	// leaseDuration is how far a call extends a server's lease. Together with
	// silenceBound it stays below the time after which a caller submits a job
	// again, and it is over twice pollWait.
	leaseDuration = 700 * time.Millisecond
	// pollWait is how long a poll of a server waits for a run to end.
	pollWait = 300 * time.Millisecond
	// clockDrift is the fraction by which a server's clock may be slower than real
	// time, and driftPercent the same in percent.
	clockDrift   = driftPercent / 100.0
	driftPercent = 2
	// answerAllowance is the time that a server's answer may take to arrive, added
	// when this VM waits for a lease to lapse.
	answerAllowance = 30 * time.Millisecond

	// claimWindow is how long a new owner waits for homes to claim the runs that
	// it found on a server: several times a load report and a link's round trip
	// between failure domains. The server's lease is not extended meanwhile.
	claimWindow = 150 * time.Millisecond
	// maxTickInterval is the longest time between two ticks.
	maxTickInterval = 50 * time.Millisecond
	// orphanBound is how long the runs of a home's jobs may continue after their
	// owner last heard from the home, unless the home claims them. The owner may
	// start runs and extend the server's lease until a tick finds the home silent
	// for silenceBound; then the lease has to lapse on the server's clock, which
	// may be slow.
	orphanBound = silenceBound + maxTickInterval + leaseDuration*(100+driftPercent)/100 + 2*answerAllowance

	// startupGrace is how long a new VM listens to its peers before it takes over
	// servers that seem to have no owner.
	startupGrace = 800 * time.Millisecond
	// settleTime is how long a new VM may report that it isn't ready because it doesn't know
	// the load of its neighborhood's servers: two checks of the balancer. Some servers or
	// VMs may be away for longer.
	settleTime = 2 * time.Second
	// minorityTakeoverDelay is how long a VM that has lost the majority of its
	// peers waits before it takes over a server of a lost peer.
	minorityTakeoverDelay = 2 * time.Second
	// fencedTakeoverPause is how long a VM in the minority takes over no servers
	// after a server has fenced it off in favor of another VM. The next attempt
	// after that finds out whether the partition lasts.
	fencedTakeoverPause = 10 * time.Second
	// minRebalanceDelay is the least time for which the assigned owner of a server
	// must stay the same before the current owner, when alive, releases the server to
	// it.
	minRebalanceDelay = time.Second
	// firstTakeoverBackoff is the backoff after the first time that another VM
	// takes a server by a higher token, and maxTakeoverBackoff bounds its
	// doubling.
	firstTakeoverBackoff = 500 * time.Millisecond
	maxTakeoverBackoff   = 8 * time.Second
	// forgetPeerAfter is how long a silent peer still counts among the VMs of which
	// a majority must be heard, and how long a VM that the store no longer lists still
	// counts in the fleet.
	forgetPeerAfter = 30 * time.Second

	// retryDelay is the pause before an owner is sought again for a task that none
	// was found for, before a server is polled again after two or more unanswered calls in
	// a row, and before the first poll of a server that was reset.
	retryDelay = 250 * time.Millisecond
	// firstSuspension is the first suspension of a server whose runs failed, and
	// maxSuspension bounds its doubling.
	firstSuspension = 400 * time.Millisecond
	maxSuspension   = 3 * time.Second
	// failuresToSuspend is the number of consecutive failures that suspends a
	// server: a single failure is usually the task's own fault.
	failuresToSuspend = 2

	// pauseRefusalTime is how long requests are refused after this VM was paused:
	// they may have waited in its socket and been submitted elsewhere since.
	pauseRefusalTime = 300 * time.Millisecond
	// routesCheckTime bounds how long requests are refused after a pause until the
	// store confirms the routes: twice the response time of a slow store.
	routesCheckTime = 500 * time.Millisecond

	// networkAllowance is the part of a job's slack that is reserved for messages
	// and calls.
	networkAllowance = 15 * time.Millisecond

	// maxQueuedTasks bounds the tasks that wait at one owner.
	maxQueuedTasks = 4096
	// maxOpenJobs bounds the open jobs of one home.
	maxOpenJobs = 4096
	// maxTasksPerJob bounds the tasks of one job.
	maxTasksPerJob = 2048
	// endedRetention is how long an owner remembers how a run ended, for homes
	// whose link was lost: longer than it takes to restore a link or to declare
	// the peer lost.
	endedRetention = 5 * time.Second
)
