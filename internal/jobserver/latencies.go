package jobserver

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peppertrack/peppertrack/internal/repeater"
)

const (
	maxLatency        = 60 * time.Second
	significantDigits = 2
)

// latencies holds histograms of the latencies of jobs and starts, in microseconds,
// by outcome.
type latencies struct {
	mu     sync.Mutex
	jobs   map[string]*hdrhistogram.Histogram
	starts map[string]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{jobs: make(map[string]*hdrhistogram.Histogram), starts: make(map[string]*hdrhistogram.Histogram)}
}

func (l *latencies) recordJob(o repeater.Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recordLatency(l.jobs, repeater.OutcomeName(o), took)
}

func (l *latencies) recordStart(r repeater.StartResult, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recordLatency(l.starts, r.String(), took)
}

func recordLatency(histograms map[string]*hdrhistogram.Histogram, name string, took time.Duration) {
	h := histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		histograms[name] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds()) // no error: the value is capped above
}

// latencySummary summarizes one histogram.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Us"`
	P90   int64 `json:"p90Us"`
	P99   int64 `json:"p99Us"`
	Max   int64 `json:"maxUs"`
}

func summarize(histograms map[string]*hdrhistogram.Histogram) map[string]latencySummary {
	all := make(map[string]latencySummary, len(histograms))
	for name, h := range histograms {
		all[name] = latencySummary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return all
}

// Metrics returns the counters and latencies of the server, for encoding as JSON.
func (s *Server) Metrics() any {
	s.latencies.mu.Lock()
	defer s.latencies.mu.Unlock()
	return struct {
		Decisions *repeater.Counters        `json:"decisions"`
		Jobs      map[string]latencySummary `json:"jobs"`
		Starts    map[string]latencySummary `json:"starts"`
		Links     any                       `json:"links"`
		Events    int                       `json:"eventsWaiting"`
	}{s.counters.Load(), summarize(s.latencies.jobs), summarize(s.latencies.starts), s.linker.Counts(), len(s.events)}
}
