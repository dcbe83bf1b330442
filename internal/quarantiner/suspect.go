package quarantiner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// phase says how the tasks on a suspected backend server are limited.
type phase int

const (
	quarantined phase = iota // gets no task
	probation                // gets one task at a time
)

// suspect is a backend server on which tasks failed lately, or in whose rack other
// servers could not be reached.
type suspect struct {
	backend             identifier.BackendID
	phase               phase
	quarantinedAt       time.Time
	failedTaskStartedAt time.Time // start of the task that failed last
	quarantinedUntil    time.Time
	quarantines         int                       // since the server became suspect
	jobs                []identifier.SubmissionID // distinct ones that failed there, at most maxJobsPerSuspect
	successes           int                       // of probes in this probation
}

// addFailedJob records a job that failed on the server. It reports false if the job was
// recorded before.
func (s *suspect) addFailedJob(job identifier.SubmissionID) bool {
	for _, known := range s.jobs {
		if known == job {
			return false
		}
	}
	if len(s.jobs) < maxJobsPerSuspect {
		s.jobs = append(s.jobs, job)
	}
	return true
}

// removeFailedJob removes a failed job. It reports whether no failed job is left.
func (s *suspect) removeFailedJob(job identifier.SubmissionID) bool {
	for i, known := range s.jobs {
		if known == job {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			break
		}
	}
	return len(s.jobs) == 0
}
