package loader

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of a Workload. maxTimedEvents bounds the bursts and the cancel waves.
const (
	maxDuration       = 24 * time.Hour
	maxTasksPerJob    = 1900
	maxTeams          = 1000
	maxTimedEvents    = 100
	maxCopies         = 8
	maxLoad           = 20.0
	maxDeclaredFactor = 1000.0
	maxWeight         = 1e6
	maxBurstFactor    = 1000.0
)

// Workload describes the jobs that are offered to the system.
type Workload struct {
	// Seed determines every planned job.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Duration is the time over which jobs arrive.
	Duration time.Duration `yaml:"duration" json:"duration"`
	// Load is the offered work as a share of what all slots can do.
	Load float64 `yaml:"load" json:"load"`
	// Profile names the profile of every job.
	Profile identifier.ProfileName `yaml:"profile" json:"profile"`
	// Deadline is each job's deadline; 0 means the profile's.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// TasksMin and TasksMax bound the tasks of a job.
	TasksMin int `yaml:"tasksMin" json:"tasksMin"`
	TasksMax int `yaml:"tasksMax" json:"tasksMax"`
	// RunTimes is the distribution of the tasks' run times.
	RunTimes RunTimes `yaml:"runTimes" json:"runTimes"`
	// Declared says how declared run times differ from the true ones.
	Declared Declared `yaml:"declared" json:"declared"`
	// Teams share the arrivals by weight.
	Teams []Team `yaml:"teams" json:"teams"`
	// UnrepeatableShare is the share of jobs marked as unrepeatable.
	UnrepeatableShare float64 `yaml:"unrepeatableShare" json:"unrepeatableShare"`
	// Resubmissions are further requests with the ID of a job.
	Resubmissions Resubmissions `yaml:"resubmissions" json:"resubmissions"`
	// RetryRefusals says that callers retry after a refusal, with the same ID and
	// after the pause that it asks for. Otherwise the first answer counts.
	RetryRefusals bool `yaml:"comeBack" json:"comeBack"`
	// Bursts multiply the arrival rate during an interval.
	Bursts []Burst `yaml:"bursts" json:"bursts"`
	// CancelWaves cancel a share of the jobs in flight.
	CancelWaves []CancelWave `yaml:"cancelWaves" json:"cancelWaves"`
}

// Declared says how the declared run times differ from the true ones.
type Declared struct {
	// WrongShare is the share of the jobs that declare wrong run times.
	WrongShare float64 `yaml:"wrongShare" json:"wrongShare"`
	// Factor multiplies or, for about half of these jobs, divides the run time.
	Factor float64 `yaml:"factor" json:"factor"`
}

// Team is a team of callers and its weight among the arrivals. Without a token it
// sends its name, which is enough for a system that listens on loopback only.
type Team struct {
	Name   identifier.Team `yaml:"name" json:"name"`
	Token  string          `yaml:"token" json:"-"`
	Weight float64         `yaml:"weight" json:"weight"`
}

// Resubmissions says how callers send further requests with the ID of a job
// although no answer was lost.
type Resubmissions struct {
	// Share is the share of the jobs that are sent more than once.
	Share float64 `yaml:"share" json:"share"`
	// Copies is the number of further requests for such a job.
	Copies int `yaml:"copies" json:"copies"`
	// Delay is the longest pause before a further request. About half of these jobs
	// send all their requests at once.
	Delay time.Duration `yaml:"delay" json:"delay"`
}

// Burst multiplies the arrival rate by Factor from At on, for the duration For.
type Burst struct {
	At     time.Duration `yaml:"at" json:"at"`
	For    time.Duration `yaml:"for" json:"for"`
	Factor float64       `yaml:"factor" json:"factor"`
}

// CancelWave cancels a share of the jobs that are in flight at the time At.
type CancelWave struct {
	At    time.Duration `yaml:"at" json:"at"`
	Share float64       `yaml:"share" json:"share"`
}

// DefaultWorkload returns a steady workload at 70% of the slots from four teams:
// jobs of 10 to 200 tasks that run for 50 ms to 1 s.
func DefaultWorkload() Workload {
	return Workload{
		Seed:     1,
		Duration: 30 * time.Second,
		Load:     0.7,
		Profile:  "orderDesk",
		TasksMin: 10,
		TasksMax: 200,
		RunTimes: RunTimes{Kind: KindUniform, Min: 50 * time.Millisecond, Max: time.Second},
		Declared: Declared{Factor: 1},
		Teams: []Team{
			{Name: "team-a", Weight: 1},
			{Name: "team-b", Weight: 1},
			{Name: "team-c", Weight: 1},
			{Name: "team-d", Weight: 1},
		},
	}
}

// Validate returns an error that names the first field out of bounds.
func (w Workload) Validate() error {
	checks := []struct {
		ok    bool
		field string
		want  string
	}{
		{w.Duration > 0 && w.Duration <= maxDuration, "duration", "above 0 and at most 24h"},
		{w.Load > 0 && w.Load <= maxLoad, "load", "above 0 and at most 20"},
		{w.Profile != "", "profile", "a profile's name"},
		{w.Deadline >= 0, "deadline", "at least 0"},
		{w.TasksMin >= 1, "tasksMin", "at least 1"},
		{w.TasksMax >= w.TasksMin && w.TasksMax <= maxTasksPerJob, "tasksMax", "between tasksMin and 1900"},
		{isShare(w.Declared.WrongShare), "declared.wrongShare", "between 0 and 1"},
		{w.Declared.Factor > 0 && w.Declared.Factor <= maxDeclaredFactor, "declared.factor", "above 0 and at most 1000"},
		{len(w.Teams) >= 1 && len(w.Teams) <= maxTeams, "teams", "between 1 and 1000 teams"},
		{isShare(w.UnrepeatableShare), "unrepeatableShare", "between 0 and 1"},
		{isShare(w.Resubmissions.Share), "resubmissions.share", "between 0 and 1"},
		{w.Resubmissions.Copies >= 0 && w.Resubmissions.Copies <= maxCopies, "resubmissions.copies", "between 0 and 8"},
		{w.Resubmissions.Delay >= 0, "resubmissions.delay", "at least 0"},
		{len(w.Bursts) <= maxTimedEvents, "bursts", "at most 100"},
		{len(w.CancelWaves) <= maxTimedEvents, "cancelWaves", "at most 100"},
	}
	for _, check := range checks {
		if !check.ok {
			return errors.Newf("%s: must be %s", check.field, check.want)
		}
	}
	return w.validateNested()
}

func (w Workload) validateNested() error {
	if err := w.RunTimes.validate(); err != nil {
		return errors.Wrap(err, "runTimes")
	}
	for i, team := range w.Teams {
		if team.Name == "" || !isPositiveUpTo(team.Weight, maxWeight) {
			return errors.Newf("teams[%d]: needs a name and a weight above 0 and at most 1e6", i)
		}
	}
	for i, burst := range w.Bursts {
		if burst.At < 0 || burst.For <= 0 || !isPositiveUpTo(burst.Factor, maxBurstFactor) {
			return errors.Newf("bursts[%d]: needs at of at least 0, for above 0, and factor above 0 and at most 1000", i)
		}
	}
	for i, wave := range w.CancelWaves {
		if wave.At < 0 || !isShare(wave.Share) {
			return errors.Newf("cancelWaves[%d]: needs at of at least 0 and a share between 0 and 1", i)
		}
	}
	return nil
}

func (t Team) bearerToken() string { return cmp.Or(t.Token, string(t.Name)) }

// isPositiveUpTo reports whether a value is above 0 and at most limit. It returns
// false for NaN.
func isPositiveUpTo(value, limit float64) bool { return value > 0 && value <= limit }

func isShare(share float64) bool { return share >= 0 && share <= 1 }

// rateFactor returns the factor of the arrival rate at a time.
func (w Workload) rateFactor(at time.Duration) float64 {
	factor := 1.0
	for _, burst := range w.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			factor = max(factor, burst.Factor)
		}
	}
	return factor
}

func (w Workload) peakFactor() float64 {
	greatest := 1.0
	for _, burst := range w.Bursts {
		greatest = max(greatest, burst.Factor)
	}
	return greatest
}
