package jobserver

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peppertrack/peppertrack/internal/repeater"
)

const (
	longestMetered = 60 * time.Second
	meterDigits    = 2
)

// meters hold the latencies of jobs and starts, by outcome.
type meters struct {
	mu     sync.Mutex
	jobs   map[string]*hdrhistogram.Histogram
	starts map[string]*hdrhistogram.Histogram
}

func newMeters() *meters {
	return &meters{jobs: make(map[string]*hdrhistogram.Histogram), starts: make(map[string]*hdrhistogram.Histogram)}
}

func (m *meters) job(o repeater.Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.jobs, repeater.OutcomeName(o), took)
}

func (m *meters) start(r repeater.StartResult, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.starts, r.String(), took)
}

func record(histograms map[string]*hdrhistogram.Histogram, name string, took time.Duration) {
	h := histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, longestMetered.Microseconds(), meterDigits)
		histograms[name] = h
	}
	_ = h.RecordValue(min(took, longestMetered).Microseconds()) // the bound is kept above
}

// latency sums up one histogram.
type latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Us"`
	P90   int64 `json:"p90Us"`
	P99   int64 `json:"p99Us"`
	Max   int64 `json:"maxUs"`
}

func summarize(histograms map[string]*hdrhistogram.Histogram) map[string]latency {
	all := make(map[string]latency, len(histograms))
	for name, h := range histograms {
		all[name] = latency{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return all
}

// Metrics returns the counters and latencies of the server.
func (s *Server) Metrics() any {
	s.meters.mu.Lock()
	defer s.meters.mu.Unlock()
	return struct {
		Decisions *repeater.Counters `json:"decisions"`
		Jobs      map[string]latency `json:"jobs"`
		Starts    map[string]latency `json:"starts"`
		Links     any                `json:"links"`
		Events    int                `json:"eventsWaiting"`
	}{s.counters.Load(), summarize(s.meters.jobs), summarize(s.meters.starts), s.linker.Counts(), len(s.events)}
}
