package quarantiner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// phase is where a suspected backend server stands.
type phase int

const (
	closed    phase = iota // gets no task
	probation              // gets one task at a time
)

// suspect is a backend server whose tasks failed lately.
type suspect struct {
	backend  identifier.BackendID
	phase    phase
	closedAt time.Time
	brokenAt time.Time                 // when the task that failed last was started
	until    time.Time                 // end of the closed phase
	strikes  int                       // closings since it was last found healthy
	jobs     []identifier.SubmissionID // distinct ones that failed there
	probes   int                       // successes on probation
}

// accuse notes a job that failed. It reports whether that is news.
func (s *suspect) accuse(job identifier.SubmissionID) bool {
	for _, known := range s.jobs {
		if known == job {
			return false
		}
	}
	if len(s.jobs) < maxAccusers {
		s.jobs = append(s.jobs, job)
	}
	return true
}

// acquit takes back what a job said. It reports whether nothing is left.
func (s *suspect) acquit(job identifier.SubmissionID) bool {
	for i, known := range s.jobs {
		if known == job {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			break
		}
	}
	return len(s.jobs) == 0
}
