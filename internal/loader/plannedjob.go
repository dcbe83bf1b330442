package loader

import (
	"time"
)

// PlannedJob is one job of a planned workload.
type PlannedJob struct {
	Number           int
	At               time.Duration // since the start of the run
	TeamIndex        int           // index into the workload's teams
	Unrepeatable     bool
	RunTimes         []time.Duration // the true run time of each task
	DeclaredRunTimes []time.Duration // one per task
	CopyDelays       []time.Duration // pauses before further requests with the same ID
	Cancels          []bool          // one per cancel wave: whether it selects the job
}

// Longest returns the run time of the longest task.
func (j PlannedJob) Longest() time.Duration {
	longest := time.Duration(0)
	for _, runTime := range j.RunTimes {
		longest = max(longest, runTime)
	}
	return longest
}

// Work returns the sum of the tasks' run times.
func (j PlannedJob) Work() time.Duration {
	work := time.Duration(0)
	for _, runTime := range j.RunTimes {
		work += runTime
	}
	return work
}
