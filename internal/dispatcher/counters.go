package dispatcher

import "sync/atomic"

// Counters count what a Machine did since its start. They may be read while it runs.
type Counters struct {
	JobsSubmitted    atomic.Int64
	JobsJoined       atomic.Int64 // resubmissions that joined their running job
	JobsForwarded    atomic.Int64
	JobsComplete     atomic.Int64
	JobsFailed       atomic.Int64
	JobsRefused      atomic.Int64
	JobsUnverifiable atomic.Int64
	TasksStarted     atomic.Int64 // start requests sent
	TasksSucceeded   atomic.Int64
	TasksFailed      atomic.Int64
	TasksLost        atomic.Int64
	StartsRefused    atomic.Int64
	LateResults      atomic.Int64 // results that came after their job had ended, dropped
	StopRequests     atomic.Int64
	RunningJobs      atomic.Int64
	QueuedTasks      atomic.Int64
	RunningTasks     atomic.Int64
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
		"tasksLost":        c.TasksLost.Load(),
		"startsRefused":    c.StartsRefused.Load(),
		"lateResults":      c.LateResults.Load(),
		"stopRequests":     c.StopRequests.Load(),
		"runningJobs":      c.RunningJobs.Load(),
		"queuedTasks":      c.QueuedTasks.Load(),
		"runningTasks":     c.RunningTasks.Load(),
	}
}
