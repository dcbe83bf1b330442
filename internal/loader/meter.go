package loader

import (
	"context"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/auditor"
)

// meter reads the counters of daemons and backend servers before and after a
// run.
type meter struct {
	scraper *scraper
	opts    Options
	before  map[string]counters // by daemon
	backend backendSummary
}

func newMeter(ctx context.Context, s *scraper, opts Options) *meter {
	m := &meter{scraper: s, opts: opts, before: make(map[string]counters)}
	for _, address := range opts.EntryVMs {
		if c, err := s.vars(ctx, address); err == nil {
			m.before[address] = c
		}
	}
	if opts.BackendControl != "" {
		m.backend, _ = s.backendSummary(ctx, opts.BackendControl) // finish tells of it
	}
	return m
}

// finish adds what the counters tell to the report.
func (m *meter) finish(ctx context.Context, report *Report) {
	for _, address := range m.opts.EntryVMs {
		after, err := m.scraper.vars(ctx, address)
		if err != nil {
			report.Unreachable = append(report.Unreachable, address)
			continue
		}
		m.addDaemon(report, m.before[address], after)
	}
	if report.Tasks > 0 {
		report.Cost.PerTask = report.Cost.Processor / time.Duration(report.Tasks)
	}
	if m.opts.BackendControl == "" {
		return
	}
	summary, err := m.scraper.backendSummary(ctx, m.opts.BackendControl)
	if err != nil {
		report.Unreachable = append(report.Unreachable, m.opts.BackendControl)
		return
	}
	m.addBackends(report, summary)
}

// daemonCounters says of each counter of a daemon, by the end of its path, what
// it tells of messages.
var daemonCounters = map[string]class{
	"jobsForwarded":    needed,
	"lateResults":      wasted,
	"tasksLost":        wasted,
	"stopRequests":     wasted,
	"jobsRefused":      wasted,
	"jobsUnverifiable": wasted,
	"messagesSent":     control,
}

// addDaemon adds one daemon's growth since the start of the run. A counter that
// fell belongs to a new process and counts whole.
func (m *meter) addDaemon(report *Report, before, after counters) {
	for path, value := range after {
		grown := value - before[path]
		if grown < 0 {
			grown = value
		}
		name := path[strings.LastIndexByte(path, '.')+1:]
		if c, ok := daemonCounters[name]; ok {
			report.Messages.add(c, path, int64(grown))
		}
		switch name {
		case "processorSeconds":
			report.Cost.Processor += time.Duration(grown * float64(time.Second))
		case "HeapAlloc":
			report.Cost.HeapBytes += int64(value)
		case "runningJobs":
			report.Cost.RunningJobs += int64(value)
		case "queuedTasks":
			report.Cost.QueuedTasks += int64(value)
		}
	}
}

// addBackends adds the exchanges that the backend servers saw.
func (m *meter) addBackends(report *Report, after backendSummary) {
	for ending, count := range after.Endings {
		c := needed
		if ending != backendSucceeded {
			c = wasted
		}
		report.Messages.add(c, "starts."+ending, count-m.backend.Endings[ending])
	}
	for reason, count := range after.Refusals {
		report.Messages.add(wasted, "startsRefused."+reason, count-m.backend.Refusals[reason])
	}
}

// backendSucceeded is the ending of a task that ran to its end.
const backendSucceeded = "succeeded"

// audit joins the starts of the run with its observations.
func (r *run) audit(ctx context.Context, m *meter, report *Report) (err error) {
	if r.opts.BackendControl == "" {
		return nil
	}
	starts, err := m.scraper.starts(ctx, r.opts.BackendControl, m.backend.Starts)
	if err != nil {
		return err
	}
	report.Audited = true
	report.Starts = len(starts)
	report.Violations = auditor.Audit(starts, r.recorder.observations)
	return nil
}
