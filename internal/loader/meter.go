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
	scraper        *scraper
	opts           Options
	daemonsBefore  map[string]counters // by daemon
	backendsBefore backendSummary
}

func newMeter(ctx context.Context, s *scraper, opts Options) *meter {
	m := &meter{scraper: s, opts: opts, daemonsBefore: make(map[string]counters)}
	for _, address := range opts.EntryVMs {
		if c, err := s.readCounters(ctx, address); err == nil {
			m.daemonsBefore[address] = c
		}
	}
	if opts.BackendAdmin != "" {
		m.backendsBefore, _ = s.backendSummary(ctx, opts.BackendAdmin) // addTo reports an address that does not answer
	}
	return m
}

// addTo reads the counters after the run and adds their growth to the report. A
// process that doesn't answer is listed as unreachable.
func (m *meter) addTo(ctx context.Context, report *Report) {
	for _, address := range m.opts.EntryVMs {
		after, err := m.scraper.readCounters(ctx, address)
		if err != nil {
			report.Unreachable = append(report.Unreachable, address)
			continue
		}
		m.addDaemon(report, m.daemonsBefore[address], after)
	}
	if report.Tasks > 0 {
		report.Cost.PerTask = report.Cost.Processor / time.Duration(report.Tasks)
	}
	if m.opts.BackendAdmin == "" {
		return
	}
	summary, err := m.scraper.backendSummary(ctx, m.opts.BackendAdmin)
	if err != nil {
		report.Unreachable = append(report.Unreachable, m.opts.BackendAdmin)
		return
	}
	m.addBackends(report, summary)
}

// addDaemon adds the growth of one daemon's counters since the start of the run.
// A counter that fell belongs to a new process, so its whole value is added.
func (m *meter) addDaemon(report *Report, before, after counters) {
	for path, value := range after {
		increase := value - before[path]
		if increase < 0 {
			increase = value
		}
		m.addCounter(report, path, value, increase)
	}
}

func (m *meter) addCounter(report *Report, path string, value, increase float64) {
	kind, isBackend := strings.CutPrefix(path, "backends.")
	cost := &report.Cost
	switch {
	case isBackend && strings.HasSuffix(kind, ".needed"):
		report.Messages.add(needed, kind, int64(increase))
	case isBackend && strings.HasSuffix(kind, ".wasted"):
		report.Messages.add(wasted, kind, int64(increase))
	case path == "peers.messagesSent":
		report.Messages.add(control, "betweenEntryVMs", int64(increase))
	case path == "process.cpuSeconds" && !m.opts.SharedProcess:
		cost.Processor += time.Duration(increase * float64(time.Second))
	case path == "process.heapBytes" && !m.opts.SharedProcess:
		cost.HeapBytes += int64(value)
	case path == "dispatcher.runningJobs":
		cost.RunningJobs += int64(value)
	case path == "dispatcher.queuedTasks":
		cost.QueuedTasks += int64(value)
	}
}

// addBackends adds the counts of the starts that the backend servers recorded.
func (m *meter) addBackends(report *Report, after backendSummary) {
	report.StartEndings = growth(after.Endings, m.backendsBefore.Endings)
	report.StartRefusals = growth(after.Refusals, m.backendsBefore.Refusals)
	report.StillRunning = after.Running
}

func growth(after, before map[string]int64) map[string]int64 {
	increase := make(map[string]int64)
	for name, count := range after {
		if count > before[name] {
			increase[name] = count - before[name]
		}
	}
	return increase
}

// audit checks the starts of the run against its observations.
func (r *run) audit(ctx context.Context, m *meter, report *Report) (err error) {
	if r.opts.BackendAdmin == "" {
		return nil
	}
	starts, err := m.scraper.readStarts(ctx, r.opts.BackendAdmin, m.backendsBefore.Starts)
	if err != nil {
		return err
	}
	report.Audited = true
	report.Starts = len(starts)
	report.ForeignStarts = auditor.CountForeignStarts(starts, r.recorder.observations)
	report.Violations = auditor.Audit(starts, r.recorder.observations)
	return nil
}
