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

// addDaemon adds one daemon's growth since the start of the run. A counter that
// fell belongs to a new process and counts whole.
func (m *meter) addDaemon(report *Report, before, after counters) {
	for path, value := range after {
		grown := value - before[path]
		if grown < 0 {
			grown = value
		}
		m.addCounter(report, path, value, grown)
	}
}

func (m *meter) addCounter(report *Report, path string, value, grown float64) {
	kind, isBackend := strings.CutPrefix(path, "backends.")
	cost := &report.Cost
	switch {
	case isBackend && strings.HasSuffix(kind, ".needed"):
		report.Messages.add(needed, kind, int64(grown))
	case isBackend && strings.HasSuffix(kind, ".wasted"):
		report.Messages.add(wasted, kind, int64(grown))
	case path == "peers.messagesSent":
		report.Messages.add(control, "betweenEntryVMs", int64(grown))
	case path == "process.cpuSeconds" && !m.opts.SharedProcess:
		cost.Processor += time.Duration(grown * float64(time.Second))
	case path == "process.heapBytes" && !m.opts.SharedProcess:
		cost.HeapBytes += int64(value)
	case path == "dispatcher.runningJobs":
		cost.RunningJobs += int64(value)
	case path == "dispatcher.queuedTasks":
		cost.QueuedTasks += int64(value)
	}
}

// addBackends adds the starts that the backend servers saw.
func (m *meter) addBackends(report *Report, after backendSummary) {
	report.StartEndings = growth(after.Endings, m.backend.Endings)
	report.StartRefusals = growth(after.Refusals, m.backend.Refusals)
	report.StillRunning = after.Running
}

func growth(after, before map[string]int64) map[string]int64 {
	grown := make(map[string]int64)
	for name, count := range after {
		if count > before[name] {
			grown[name] = count - before[name]
		}
	}
	return grown
}

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
	report.ForeignStarts = auditor.CountForeign(starts, r.recorder.observations)
	report.Violations = auditor.Audit(starts, r.recorder.observations)
	return nil
}
