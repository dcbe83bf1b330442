package runner

import (
	"net/http"

	"github.com/peppertrack/peppertrack/internal/metricspublisher"
)

// metricsHandler serves the metrics of this entry VM.
func (r *Runner) metricsHandler() http.Handler {
	return metricspublisher.New(map[string]metricspublisher.Source{
		"dispatcher": func() any { return r.counters.Snapshot() },
		"peers":      func() any { return r.linker.Counts() },
		"backends":   func() any { return r.backends.caller.MessageCounts() },
		"profiles":   func() any { return r.follower.Status() },
		"member":     func() any { return r.self.String() },
	})
}
