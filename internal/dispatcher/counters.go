package dispatcher

import "sync/atomic"

// Counters count what a Machine did since its start. They may be read while it runs.
type Counters struct {
	JobsSubmitted    atomic.Int64
	JobsJoined       atomic.Int64 // resubmissions that met their running job or kept ending
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
	LateResults      atomic.Int64 // results of ended jobs, dropped
	StopRequests     atomic.Int64
	RunningJobs      atomic.Int64
	QueuedTasks      atomic.Int64
	RunningTasks     atomic.Int64
}
