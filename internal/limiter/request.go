package limiter

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Request asks for the admission of a whole job.
type Request struct {
	Submission    identifier.SubmissionID
	Team          identifier.Team
	Profile       identifier.ProfileName
	Weight        float64          // of the team in weighted fair queueing; 0 takes 1
	Priority      int              // each level puts the job ahead of jobs of its team that arrived up to priorityBoost earlier
	Quota         identifier.Slots // bound of the team's running tasks under the profile, over all entry VMs; 0: none
	RetryFraction float64          // what each first start of the job adds to the retry budget, in repeated starts; 0 takes Options.RetryFraction
	QueueBound    int              // bound of the team's queued tasks under the profile on this VM; 0: none
	Tasks         []TaskEstimate   // kept by the Limiter; not to be changed by the caller
	Deadline      time.Time        // zero: none
}

// TaskEstimate is the estimate for one task of a Request.
type TaskEstimate struct {
	ExpectedTime time.Duration // for which the task is expected to hold its slot
}
