package profileparser

import "time"

// Default returns the values that a profile takes for the fields it leaves out.
// It has no name.
func Default() Profile {
	return Profile{
		Deadline:       10 * time.Second,
		MaxTasks:       MaxTasksLimit,
		Priority:       5,
		Weight:         1,
		DefaultQuota:   400,
		Repeatable:     true,
		RetryBudget:    0.1,
		QueueBound:     20_000,
		Cancellation:   Stop,
		Placement:      Placement{Policy: Reserve, Spill: true, ResponseWeight: 1, MessageWeight: 1},
		WhileStoreDown: Serve,
		WhileCutOff:    Serve,
		Objective:      Objective{Target: 0.99, ResponseOverIdeal: 3, Window: 30 * 24 * time.Hour},
	}
}
