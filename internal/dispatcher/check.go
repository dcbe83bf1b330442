package dispatcher

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// applyProfile sets the profile of a job whose claim was granted. It returns the
// refusal of a job that can't be served under it, or nil.
func (m *Machine) applyProfile(now time.Time, j *activeJob) *declarer.Refused {
	if m.profiles == nil {
		return &declarer.Refused{
			Cause:      declarer.NoCapacity,
			Detail:     "this entry VM does not know the profiles yet",
			RetryAfter: unreachableRetryAfter,
		}
	}
	if m.profilesOutdated {
		return &declarer.Refused{
			Cause:      declarer.NoCapacity,
			Detail:     "this entry VM was paused, and its profiles may be old",
			RetryAfter: profilesCheckTime,
		}
	}
	profile, ok := m.profiles[j.job.Profile]
	if !ok {
		return &declarer.Refused{Cause: declarer.UnknownProfile, Detail: fmt.Sprintf("no profile has the name %q", j.job.Profile)}
	}
	j.setProfile(profile, m.opts.Domain)
	if refused := m.checkProfile(j.job, profile); refused != nil {
		return refused
	}
	if now.After(j.deadline) {
		return &declarer.Refused{Cause: declarer.DeadlineTooShort, Detail: "the deadline passed before the submission was claimed"}
	}
	return m.checkFit(j)
}

func (m *Machine) checkProfile(job declarer.Job, profile profileparser.Profile) *declarer.Refused {
	switch {
	case profile.Retired:
		return &declarer.Refused{Cause: declarer.RetiredProfile, Detail: fmt.Sprintf("profile %q is retired", profile.Name)}
	case len(job.Tasks) > profile.MaxTasks:
		return &declarer.Refused{
			Cause:  declarer.TooLarge,
			Detail: fmt.Sprintf("the job has %d tasks; profile %q allows %d", len(job.Tasks), profile.Name, profile.MaxTasks),
		}
	case !m.platformReachable && profile.WhileStoreDown == profileparser.Refuse:
		return &declarer.Refused{
			Cause:      declarer.NoCapacity,
			Detail:     fmt.Sprintf("profile %q refuses new jobs while the platform's store is out of reach", profile.Name),
			RetryAfter: unreachableRetryAfter,
		}
	case m.domainCutOff() && profile.WhileCutOff == profileparser.Refuse:
		return &declarer.Refused{
			Cause:      declarer.NoCapacity,
			Detail:     fmt.Sprintf("profile %q refuses new jobs while no other failure domain can be reached", profile.Name),
			RetryAfter: unreachableRetryAfter,
		}
	default:
		return nil
	}
}

// domainCutOff reports whether this failure domain is cut off from the others: no
// entry VM of another one is linked.
func (m *Machine) domainCutOff() bool {
	for _, domain := range m.peers {
		if domain != m.opts.Domain {
			return false
		}
	}
	return len(m.opts.Domains) > 1
}

// checkFit returns the refusal of a job with a task that no backend server can
// hold, or nil.
func (m *Machine) checkFit(j *activeJob) *declarer.Refused {
	if len(m.addresses) == 0 {
		return &declarer.Refused{Cause: declarer.NoCapacity, Detail: "no backend server is known", RetryAfter: unreachableRetryAfter}
	}
	var last placer.TaskNeeds
	for i, t := range j.job.Tasks {
		needs := placer.TaskNeeds{Millicores: t.Cores, Memory: t.Memory, Accelerators: t.Accelerators, Domain: j.requiredDomain}
		if i > 0 && needs == last {
			continue
		}
		if !m.placer.Fits(needs) {
			return &declarer.Refused{Cause: declarer.DoesNotFit, Detail: fmt.Sprintf("no backend server can hold task %d", i)}
		}
		if !m.placer.FitsOutsideEvacuations(needs) {
			return &declarer.Refused{
				Cause:      declarer.NoCapacity,
				Detail:     fmt.Sprintf("the failure domains of all backend servers that can hold task %d are evacuated", i),
				RetryAfter: evacuatedRetryAfter,
			}
		}
		last = needs
	}
	return nil
}
