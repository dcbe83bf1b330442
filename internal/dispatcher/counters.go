package dispatcher

import "sync/atomic"

// Counters count what a Machine has done since its start; the gauges among them
// hold present numbers. They may be read while it runs.
type Counters struct {
	JobsSubmitted    atomic.Int64 // submissions that joined no job and were not forwarded on arrival; raised before the claim, so resubmissions that are then answered or forwarded count too
	JobsJoined       atomic.Int64 // resubmissions that found their job active here
	JobsForwarded    atomic.Int64 // requests of all kinds forwarded to other entry VMs
	JobsComplete     atomic.Int64
	JobsFailed       atomic.Int64
	JobsRefused      atomic.Int64
	JobsUnverifiable atomic.Int64
	TasksStarted     atomic.Int64 // start requests sent
	TasksSucceeded   atomic.Int64
	TasksFailed      atomic.Int64
	TasksUnknown     atomic.Int64 // tasks that may have started and whose outcome is unknown
	StartsRefused    atomic.Int64
	LateResults      atomic.Int64 // outcomes after the end of their job: not used for it, but passed on to limiter, placer and quarantiner
	StopRequests     atomic.Int64 // messages that stop tasks, one per backend server and tick
	Pauses           atomic.Int64 // of this process
	ActiveJobs       atomic.Int64 // gauge: jobs accepted here that have not ended
	QueuedTasks      atomic.Int64 // gauge
	RunningTasks     atomic.Int64 // gauge
	EvacuatedDomains atomic.Int64 // gauge
}

// Snapshot returns the counters by name.
func (c *Counters) Snapshot() map[string]int64 {
	return map[string]int64{
		"jobsSubmitted":    c.JobsSubmitted.Load(),
		"jobsJoined":       c.JobsJoined.Load(),
		"jobsForwarded":    c.JobsForwarded.Load(),
		"jobsComplete":     c.JobsComplete.Load(),
		"jobsFailed":       c.JobsFailed.Load(),
		"jobsRefused":      c.JobsRefused.Load(),
		"jobsUnverifiable": c.JobsUnverifiable.Load(),
		"tasksStarted":     c.TasksStarted.Load(),
		"tasksSucceeded":   c.TasksSucceeded.Load(),
		"tasksFailed":      c.TasksFailed.Load(),
		"tasksLost":        c.TasksUnknown.Load(),
		"startsRefused":    c.StartsRefused.Load(),
		"lateResults":      c.LateResults.Load(),
		"stopRequests":     c.StopRequests.Load(),
		"pauses":           c.Pauses.Load(),
		"runningJobs":      c.ActiveJobs.Load(),
		"queuedTasks":      c.QueuedTasks.Load(),
		"runningTasks":     c.RunningTasks.Load(),
		"evacuatedDomains": c.EvacuatedDomains.Load(),
	}
}
