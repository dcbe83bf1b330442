package loader

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// meanSamples is the number of run times drawn to find their mean.
const meanSamples = 20_000

// Streams of the workload's random generator.
const (
	arrivalStream = iota + 1
	meanStream
)

// Planner decides the jobs of a workload, one after the other.
type Planner struct {
	workload Workload
	sampler  sampler
	rng      *rand.Rand
	peakRate float64 // jobs a second
	weights  float64
	next     time.Duration
	number   int
}

// NewPlanner returns the planner of a workload for a number of slots.
func NewPlanner(w Workload, slots identifier.Slots) (p *Planner, err error) {
	defer func() { err = errors.Wrap(err, "planning the workload") }()
	if err := w.Validate(); err != nil {
		return nil, err
	}
	if slots <= 0 {
		return nil, errors.Newf("slots: %d is not above 0", slots)
	}
	s, err := w.RunTimes.sampler()
	if err != nil {
		return nil, err
	}
	p = &Planner{workload: w, sampler: s, rng: rand.New(rand.NewPCG(w.Seed, arrivalStream))}
	jobWork := p.meanRunTime() * float64(w.TasksMin+w.TasksMax) / 2
	p.peakRate = w.Load * float64(slots) / jobWork * w.greatestFactor()
	for _, team := range w.Teams {
		p.weights += team.Weight
	}
	return p, nil
}

// meanRunTime returns the mean run time of a task, in seconds.
func (p *Planner) meanRunTime() float64 {
	rng := rand.New(rand.NewPCG(p.workload.Seed, meanStream))
	sum := 0.0
	for range meanSamples {
		sum += p.workload.RunTimes.draw(p.sampler, rng).Seconds()
	}
	return sum / meanSamples
}

// Next returns the next job; ok is false when no further job arrives.
func (p *Planner) Next() (job PlannedJob, ok bool) {
	for {
		p.next += time.Duration(p.rng.ExpFloat64() / p.peakRate * float64(time.Second))
		if p.next >= p.workload.Duration {
			return PlannedJob{}, false
		}
		accepted := p.workload.rateFactor(p.next) / p.workload.greatestFactor()
		if p.rng.Float64() < accepted {
			return p.job(), true
		}
	}
}

func (p *Planner) job() PlannedJob {
	w := p.workload
	job := PlannedJob{
		Number:       p.number,
		At:           p.next,
		Team:         p.team(),
		Unrepeatable: p.rng.Float64() < w.UnrepeatableShare,
	}
	p.number++
	tasks := w.TasksMin + p.rng.IntN(w.TasksMax-w.TasksMin+1)
	factor := p.declaredFactor()
	for range tasks {
		runTime := w.RunTimes.draw(p.sampler, p.rng)
		job.RunTimes = append(job.RunTimes, runTime)
		declared := time.Duration(float64(runTime) * factor)
		job.Declared = append(job.Declared, max(declared, time.Millisecond))
	}
	job.Copies = p.copies()
	for _, wave := range w.CancelWaves {
		job.Cancels = append(job.Cancels, p.rng.Float64() < wave.Share)
	}
	return job
}

func (p *Planner) team() int {
	draw := p.rng.Float64() * p.weights
	for i, team := range p.workload.Teams {
		draw -= team.Weight
		if draw < 0 {
			return i
		}
	}
	return len(p.workload.Teams) - 1
}

func (p *Planner) declaredFactor() float64 {
	declared := p.workload.Declared
	if p.rng.Float64() >= declared.WrongShare {
		return 1
	}
	if p.rng.IntN(2) == 0 {
		return declared.Factor
	}
	return 1 / declared.Factor
}

func (p *Planner) copies() []time.Duration {
	resubmissions := p.workload.Resubmissions
	if resubmissions.Copies == 0 || p.rng.Float64() >= resubmissions.Share {
		return nil
	}
	copies := make([]time.Duration, resubmissions.Copies)
	if p.rng.IntN(2) == 0 {
		return copies
	}
	for i := range copies {
		copies[i] = time.Duration(p.rng.Int64N(int64(resubmissions.Delay) + 1))
	}
	return copies
}
