package dispatcher

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// check returns why a job of which nothing is known can't be served, or nil.
func (m *Machine) check(job declarer.Job, profile profileparser.Profile) *declarer.Refused {
	switch {
	case profile.Retired:
		return &declarer.Refused{Cause: declarer.RetiredProfile, Detail: fmt.Sprintf("profile %s is retired", profile.Name)}
	case len(job.Tasks) > profile.MaxTasks:
		return &declarer.Refused{
			Cause:  declarer.TooLarge,
			Detail: fmt.Sprintf("the job has %d tasks; profile %s allows %d", len(job.Tasks), profile.Name, profile.MaxTasks),
		}
	case m.draining:
		return &declarer.Refused{Cause: declarer.ShuttingDown, Detail: "this entry VM shuts down", RetryAfter: shutdownRetryAfter}
	case !m.storeReachable && profile.WhileStoreDown == profileparser.Refuse:
		return &declarer.Refused{
			Cause:      declarer.NoCapacity,
			Detail:     fmt.Sprintf("profile %s refuses new jobs while the platform's store is out of reach", profile.Name),
			RetryAfter: unreachableRetryAfter,
		}
	}
	return m.checkFit(job)
}

// checkFit refuses a job with a task that no backend server can hold.
func (m *Machine) checkFit(job declarer.Job) *declarer.Refused {
	if len(m.addresses) == 0 {
		return &declarer.Refused{Cause: declarer.NoCapacity, Detail: "no backend server is known", RetryAfter: unreachableRetryAfter}
	}
	var last placer.Want
	for i, t := range job.Tasks {
		want := placer.Want{Millicores: t.Cores, Memory: t.Memory, Accelerators: t.Requires}
		if i > 0 && want == last {
			continue
		}
		if !m.placer.Fits(want) {
			return &declarer.Refused{Cause: declarer.DoesNotFit, Detail: fmt.Sprintf("no backend server can hold task %d", i)}
		}
		last = want
	}
	return nil
}
