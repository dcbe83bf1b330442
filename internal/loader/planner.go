package loader

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// meanSamples is the number of run times drawn to estimate their mean.
const meanSamples = 20_000

// Streams of the workload's random generator; see also copyStream.
const (
	arrivalStream = iota + 1
	meanStream
)

// Planner generates the jobs of a workload in the order of their arrivals.
type Planner struct {
	workload     Workload
	distribution distribution
	rng          *rand.Rand
	peakRate     float64 // jobs per second
	totalWeight  float64
	nextArrival  time.Duration
	nextNumber   int
}

// NewPlanner returns a planner that scales the workload to a number of slots.
func NewPlanner(w Workload, slots identifier.Slots) (p *Planner, err error) {
	defer func() { err = errors.Wrap(err, "planning the workload") }()
	if err := w.Validate(); err != nil {
		return nil, err
	}
	if slots <= 0 {
		return nil, errors.Newf("slots: %d is not above 0", slots)
	}
	d, err := w.RunTimes.distribution()
	if err != nil {
		return nil, err
	}
	p = &Planner{workload: w, distribution: d, rng: rand.New(rand.NewPCG(w.Seed, arrivalStream))}
	meanJobWork := p.meanRunTime() * float64(w.TasksMin+w.TasksMax) / 2
	p.peakRate = w.Load * float64(slots) / meanJobWork * w.peakFactor()
	for _, team := range w.Teams {
		p.totalWeight += team.Weight
	}
	return p, nil
}

// meanRunTime returns an estimate of the mean run time of a task, in seconds.
func (p *Planner) meanRunTime() float64 {
	rng := rand.New(rand.NewPCG(p.workload.Seed, meanStream))
	sum := 0.0
	for range meanSamples {
		sum += p.workload.RunTimes.draw(p.distribution, rng).Seconds()
	}
	return sum / meanSamples
}

// Next returns the next job; ok is false after the last job. Arrivals are drawn
// at the peak rate and thinned to the rate at their time.
func (p *Planner) Next() (job PlannedJob, ok bool) {
	for {
		p.nextArrival += time.Duration(p.rng.ExpFloat64() / p.peakRate * float64(time.Second))
		if p.nextArrival >= p.workload.Duration {
			return PlannedJob{}, false
		}
		acceptance := p.workload.rateFactor(p.nextArrival) / p.workload.peakFactor()
		if p.rng.Float64() < acceptance {
			return p.newJob(), true
		}
	}
}

func (p *Planner) newJob() PlannedJob {
	w := p.workload
	job := PlannedJob{
		Number:       p.nextNumber,
		At:           p.nextArrival,
		TeamIndex:    p.drawTeam(),
		Unrepeatable: p.rng.Float64() < w.UnrepeatableShare,
	}
	p.nextNumber++
	tasks := w.TasksMin + p.rng.IntN(w.TasksMax-w.TasksMin+1)
	factor := p.drawDeclaredFactor()
	for range tasks {
		runTime := w.RunTimes.draw(p.distribution, p.rng)
		job.RunTimes = append(job.RunTimes, runTime)
		declared := time.Duration(float64(runTime) * factor)
		job.DeclaredRunTimes = append(job.DeclaredRunTimes, max(declared, time.Millisecond))
	}
	job.CopyDelays = p.drawCopyDelays()
	for _, wave := range w.CancelWaves {
		job.Cancels = append(job.Cancels, p.rng.Float64() < wave.Share)
	}
	return job
}

func (p *Planner) drawTeam() int {
	draw := p.rng.Float64() * p.totalWeight
	for i, team := range p.workload.Teams {
		draw -= team.Weight
		if draw < 0 {
			return i
		}
	}
	return len(p.workload.Teams) - 1
}

func (p *Planner) drawDeclaredFactor() float64 {
	declared := p.workload.Declared
	if p.rng.Float64() >= declared.WrongShare {
		return 1
	}
	if p.rng.IntN(2) == 0 {
		return declared.Factor
	}
	return 1 / declared.Factor
}

func (p *Planner) drawCopyDelays() []time.Duration {
	resubmissions := p.workload.Resubmissions
	if resubmissions.Copies == 0 || p.rng.Float64() >= resubmissions.Share {
		return nil
	}
	delays := make([]time.Duration, resubmissions.Copies)
	if p.rng.IntN(2) == 0 {
		return delays
	}
	for i := range delays {
		delays[i] = time.Duration(p.rng.Int64N(int64(resubmissions.Delay) + 1))
	}
	return delays
}
