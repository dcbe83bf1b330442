package profileparser

import "time"

// Default returns a profile with the default value of every field. Its name is
// empty.
func Default() Profile {
	return Profile{
		Deadline:       10 * time.Second,
		MaxTasks:       MaxTasksPerJob,
		Priority:       5,
		Weight:         1,
		DefaultQuota:   400,
		Repeatable:     true,
		RetryFraction:  0.1,
		QueueBound:     20_000,
		Cancellation:   Stop,
		Placement:      Placement{Policy: Reserve, Spill: true, ResponseWeight: 1, MessageWeight: 1},
		WhileStoreDown: Serve,
		WhileCutOff:    Serve,
		Objective:      Objective{Target: 0.99, ResponseOverIdeal: 3, Window: 30 * 24 * time.Hour},
	}
}
