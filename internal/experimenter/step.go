package experimenter

import (
	"cmp"
	"slices"
	"time"
)

// step is one fault at one time.
type step struct {
	at    time.Duration
	fault Fault
}

// steps returns what the scenario's faults do, in the order of their times.
func (s Scenario) steps() []step {
	var steps []step
	for _, entry := range s.Faults {
		fault, err := entry.fault()
		if err != nil {
			continue // Validate has refused it
		}
		steps = append(steps, step{at: entry.At, fault: fault})
		if entry.For > 0 {
			steps = append(steps, step{at: entry.At + entry.For, fault: entry.lifted()})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// disturbance returns when the scenario's faults, bursts and cancellations begin
// and end; ok is false if it has none.
func (s Scenario) disturbance() (begin, end time.Duration, ok bool) {
	note := func(from, to time.Duration) {
		if !ok || from < begin {
			begin = from
		}
		end = max(end, to)
		ok = true
	}
	for _, entry := range s.Faults {
		note(entry.At, entry.At+entry.For)
	}
	for _, burst := range s.Workload.Bursts {
		note(burst.At, burst.At+burst.For)
	}
	for _, wave := range s.Workload.CancelWaves {
		note(wave.At, wave.At)
	}
	return begin, end, ok
}
