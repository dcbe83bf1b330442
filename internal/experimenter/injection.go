package experimenter

import (
	"cmp"
	"slices"
	"time"
)

// injection is a fault and its time since the start of the workload.
type injection struct {
	at    time.Duration
	fault Fault
}

// injections returns the scenario's faults and their removals, in the order of
// their times.
func (s Scenario) injections() []injection {
	var injections []injection
	for _, entry := range s.Faults {
		fault, err := entry.fault()
		if err != nil {
			continue // Validate rejects it
		}
		injections = append(injections, injection{at: entry.At, fault: fault})
		if entry.For > 0 {
			injections = append(injections, injection{at: entry.At + entry.For, fault: entry.removal()})
		}
	}
	slices.SortStableFunc(injections, func(a, b injection) int { return cmp.Compare(a.at, b.at) })
	return injections
}

// disturbance returns the time from the first to the last of the scenario's
// faults, bursts and cancel waves; ok is false if it has none.
func (s Scenario) disturbance() (begin, end time.Duration, ok bool) {
	extend := func(from, to time.Duration) {
		if !ok || from < begin {
			begin = from
		}
		end = max(end, to)
		ok = true
	}
	for _, entry := range s.Faults {
		extend(entry.At, entry.At+entry.For)
	}
	for _, burst := range s.Workload.Bursts {
		extend(burst.At, burst.At+burst.For)
	}
	for _, wave := range s.Workload.CancelWaves {
		extend(wave.At, wave.At)
	}
	return begin, end, ok
}
