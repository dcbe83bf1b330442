package loader

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

const copyStream = 10 // the random stream that selects entry VMs for copies

// run is one run of a workload.
type run struct {
	opts       Options
	submitters []*jobsubmitter.Submitter // one per team
	recorder   *recorder
	roundTrip  time.Duration
	start      time.Time

	inFlight chan struct{} // a semaphore with a token for each request in flight
	wg       sync.WaitGroup
	notSent  int
	lateness time.Duration
	waiting  atomic.Int64
}

// Run offers the workload, waits for the answers and returns the report. It
// returns an error if the run can't be made; violations are in the report.
func Run(ctx context.Context, opts Options) (report Report, err error) {
	defer func() { err = errors.Wrap(err, "running the workload") }()
	if err := opts.validate(); err != nil {
		return Report{}, err
	}
	opts = opts.withDefaults()
	planner, err := NewPlanner(opts.Workload, opts.Slots)
	if err != nil {
		return Report{}, err
	}
	scraper := newScraper()
	r := &run{
		opts:      opts,
		recorder:  newRecorder(opts.Workload),
		roundTrip: scraper.roundTrip(ctx, opts.EntryVMs),
		inFlight:  make(chan struct{}, maxInFlight),
	}
	defer r.closeSubmitters()
	if err := r.openSubmitters(ctx); err != nil {
		return Report{}, err
	}
	meter := newMeter(ctx, scraper, opts)
	unfinished := r.offer(ctx, planner)
	elapsed := time.Since(r.start)
	if r.recorder.all.offered == 0 && r.notSent == 0 {
		return Report{}, errors.New("the workload offers no job in its duration")
	}
	report = r.report(elapsed, unfinished)
	meter.addTo(ctx, &report)
	err = r.audit(ctx, meter, &report)
	return report, err
}

func (r *run) openSubmitters(ctx context.Context) (err error) {
	for i, team := range r.opts.Workload.Teams {
		s, err := jobsubmitter.New(ctx, jobsubmitter.Options{
			Addresses:      r.opts.EntryVMs,
			Token:          team.bearerToken(),
			Attempts:       r.opts.Attempts,
			RequestTimeout: r.opts.RequestTimeout,
			ReturnRefusals: !r.opts.Workload.RetryRefusals,
			Seed:           r.opts.Workload.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		r.submitters = append(r.submitters, s)
	}
	return nil
}

func (r *run) closeSubmitters() {
	for _, s := range r.submitters {
		s.Close()
	}
}

// offer sends each job at its planned time and returns the number of requests
// that had no answer when the drain ended.
func (r *run) offer(ctx context.Context, planner *Planner) (unfinished int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.opts.Workload.Seed, copyStream))
	r.start = time.Now()
	for {
		job, ok := planner.Next()
		if !ok || !r.waitUntil(ctx, job.At) {
			break
		}
		r.lateness = max(r.lateness, time.Since(r.start)-job.At)
		if cap(r.inFlight)-len(r.inFlight) < 1+len(job.CopyDelays) {
			r.notSent++
			continue
		}
		r.sendJob(ctx, job, rng)
	}
	return r.drain(cancel)
}

func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	return sleeper.Sleep(ctx, time.Until(r.start.Add(at))) == nil
}

// drain waits up to Options.Drain for the answers. It cancels the requests that
// still wait then and returns their number.
func (r *run) drain(cancel context.CancelFunc) (unfinished int) {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	timer := time.NewTimer(r.opts.Drain)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		unfinished = int(r.waiting.Load())
		cancel()
		<-done
	}
	return unfinished
}

func (r *run) report(elapsed time.Duration, unfinished int) Report {
	rec := r.recorder
	report := Report{
		Seed:       r.opts.Workload.Seed,
		Load:       r.opts.Workload.Load,
		Slots:      r.opts.Slots,
		Elapsed:    elapsed,
		RoundTrip:  r.roundTrip,
		Jobs:       rec.all.offered + r.notSent,
		Tasks:      rec.tasks,
		NotSent:    r.notSent,
		Unfinished: unfinished,
		Lateness:   r.lateness,
		Endings:    rec.endings,
		Causes:     rec.causes,
		All:        rec.all.figures(),
		Curve:      rec.all.curve(),
		Teams:      rec.teamFigures(r.opts.Workload.Teams),
	}
	for _, second := range rec.seconds {
		report.Seconds = append(report.Seconds, second.figures())
	}
	return report
}
